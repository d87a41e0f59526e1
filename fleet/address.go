// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"

	"cairnwick.example/member"
	"github.com/pkg/errors"
)

// Ports of a fleet's processes. Each box and each stand-in has its own IP address.
const (
	callersPort   = 8080
	peersPort     = 9080 // the scheduler uses the next one
	operatorsPort = 9180 // the scheduler uses the next one
	standinPort   = 7000
	proxyOffset   = 1000 // difference between a port and the proxy's port for it
)

// Allocation of the last octet of a fleet's addresses: the platform, the proxy, the
// services and, from 40 for each data centre, its boxes followed by its engines.
const (
	platformNumber = 1
	proxyNumber    = 2
	takenNumber    = 3  // holds a listener that reserves the network for this fleet
	firstService   = 10 // plus the number of a service, from 1
	centreNumbers  = 40 // octets per data centre
	firstEngine    = 20 // offset within a data centre, plus the number of an engine, from 1
	lastNumber     = 254
)

// networksTried limits the attempts to find a free network. Some dozen fleets run at the same time.
const networksTried = 100

var fleets atomic.Int32 // networks tried by this process

// newNetwork returns the first three octets of a fleet's loopback addresses, and a listener that reserves
// them until it is closed. Process IDs alone are not unique enough: two fleets of different processes could
// get the same addresses, so that each one's processes would answer for the other's.
func newNetwork() (network string, taken net.Listener) {
	for n := range networksTried {
		network = fmt.Sprintf("127.%d.%d", 16+int(fleets.Add(1))%200, 1+(os.Getpid()+n)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, takenNumber, standinPort))
		if err == nil {
			return network, l
		}
	}
	return network, nil // none is free: the processes will fail with "address already in use"
}

// ip returns the fleet's address with the given last octet.
func (f *Fleet) ip(last int) string { return fmt.Sprintf("%s.%d", f.network, last) }

func (f *Fleet) platformIP() string { return f.ip(platformNumber) }

func (f *Fleet) boxIP(centre, box int) string { return f.ip(centreNumbers*centre + box) }

func (f *Fleet) engineIP(centre, engine int) string {
	return f.ip(centreNumbers*centre + firstEngine + engine)
}

func join(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// ServiceAddress returns the address of a plain service.
func (f *Fleet) ServiceAddress(i int) string { return join(f.ip(firstService+i), standinPort) }

// EngineAddress returns the address of an engine.
func (f *Fleet) EngineAddress(centre, engine int) string {
	return join(f.engineIP(centre, engine), standinPort)
}

// PlatformAddress returns the address of the platform.
func (f *Fleet) PlatformAddress() string { return join(f.platformIP(), standinPort) }

// ProxyAddress returns the address at which the proxy accepts its rules.
func (f *Fleet) ProxyAddress() string { return join(f.ip(proxyNumber), standinPort) }

// CallersAddress returns the address at which a gateway accepts requests of callers.
func (f *Fleet) CallersAddress(centre, box int) string {
	return join(f.boxIP(centre, box), callersPort)
}

// PeersAddress returns the address at which a daemon accepts connections of its peers.
func (f *Fleet) PeersAddress(centre, box int, role string) string {
	return join(f.boxIP(centre, box), peersPort+offset(role))
}

// OperatorsAddress returns the address of a daemon's health checks and metrics.
func (f *Fleet) OperatorsAddress(centre, box int, role string) string {
	return join(f.boxIP(centre, box), operatorsPort+offset(role))
}

// offset separates a scheduler's ports from those of the gateway on the same box.
func offset(role string) int {
	if role == member.Scheduler {
		return 1
	}
	return 0
}

// reached returns the address at which the daemons reach a listener, which is the proxy's
// if the fleet has one.
func (f *Fleet) reached(ip string, port int) string {
	if f.Spec.Proxied {
		port += proxyOffset
	}
	return join(ip, port)
}

// AddressRange returns the address range of a part of the fleet: platform, dc1 (boxes and
// engines of a data centre), boxes1 (its boxes), box1.2, engine1.2 or all.
func (f *Fleet) AddressRange(part string) (low, high netip.Addr, err error) {
	at := func(first, last int) (netip.Addr, netip.Addr, error) {
		return netip.MustParseAddr(f.ip(first)), netip.MustParseAddr(f.ip(last)), nil
	}
	numbers := strings.TrimLeft(part, "abcdefghijklmnopqrstuvwxyz")
	kind := strings.TrimSuffix(part, numbers)
	first, second, _ := strings.Cut(numbers, ".")
	c, _ := strconv.Atoi(first)  // zero if the part has no number
	n, _ := strconv.Atoi(second) // likewise
	centre := centreNumbers * c
	switch kind {
	case "all":
		return at(1, lastNumber)
	case "platform":
		return at(platformNumber, platformNumber)
	case "dc":
		return at(centre, centre+centreNumbers-1)
	case "boxes":
		return at(centre, centre+firstEngine-1)
	case "box":
		return at(centre+n, centre+n)
	case "engine":
		return at(centre+firstEngine+n, centre+firstEngine+n)
	}
	return low, high, errors.Errorf("fleet: invalid part %q: must be all, platform, dc1, boxes1, box1.2 or engine1.2", part)
}
