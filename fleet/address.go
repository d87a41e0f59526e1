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

// The ports of a fleet's processes; each box and each stand-in has an address
// of its own.
const (
	callersPort   = 8080
	peersPort     = 9080 // and one more for the scheduler
	operatorsPort = 9180 // and one more for the scheduler
	standinPort   = 7000
	proxyOffset   = 1000 // from a port to the proxy's port for it
)

// The last number of a fleet's addresses says what is there: the platform, the proxy,
// the services, and from 40 for each data centre its boxes and then its engines.
const (
	platformNumber = 1
	proxyNumber    = 2
	takenNumber    = 3  // nobody answers there: a fleet has these addresses
	firstService   = 10 // below the first service, which is counted from 1
	centreNumbers  = 40 // of one data centre
	firstEngine    = 20 // within a data centre, below its first engine
	lastNumber     = 254
)

// networksTried is how many a fleet may find taken: some dozen fleets run at a time.
const networksTried = 100

var fleets atomic.Int32 // begun by this process

// newNetwork returns the first three numbers of a fleet's loopback addresses, and what keeps other fleets
// from them until it is closed. By numbers of processes alone two fleets of unlike processes could get the same
// ones, and each one's processes would answer for the other's.
func newNetwork() (network string, taken net.Listener) {
	for n := range networksTried {
		network = fmt.Sprintf("127.%d.%d", 16+int(fleets.Add(1))%200, 1+(os.Getpid()+n)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, takenNumber, standinPort))
		if err == nil {
			return network, l
		}
	}
	return network, nil // its processes will say that their addresses are in use
}

// ip returns the fleet's address with a last number.
func (f *Fleet) ip(last int) string { return fmt.Sprintf("%s.%d", f.network, last) }

func (f *Fleet) platformIP() string { return f.ip(platformNumber) }

func (f *Fleet) boxIP(centre, box int) string { return f.ip(centreNumbers*centre + box) }

func (f *Fleet) engineIP(centre, engine int) string {
	return f.ip(centreNumbers*centre + firstEngine + engine)
}

func join(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// ServiceAddress returns where a plain service listens.
func (f *Fleet) ServiceAddress(i int) string { return join(f.ip(firstService+i), standinPort) }

// EngineAddress returns where an engine listens.
func (f *Fleet) EngineAddress(centre, engine int) string {
	return join(f.engineIP(centre, engine), standinPort)
}

// PlatformAddress returns where the platform listens.
func (f *Fleet) PlatformAddress() string { return join(f.platformIP(), standinPort) }

// ProxyAddress returns where the proxy takes its rules.
func (f *Fleet) ProxyAddress() string { return join(f.ip(proxyNumber), standinPort) }

// CallersAddress returns where a gateway takes callers.
func (f *Fleet) CallersAddress(centre, box int) string {
	return join(f.boxIP(centre, box), callersPort)
}

// PeersAddress returns where a daemon is reached by others.
func (f *Fleet) PeersAddress(centre, box int, role string) string {
	return join(f.boxIP(centre, box), peersPort+offset(role))
}

// OperatorsAddress returns where a daemon's health and metrics are.
func (f *Fleet) OperatorsAddress(centre, box int, role string) string {
	return join(f.boxIP(centre, box), operatorsPort+offset(role))
}

// offset tells a scheduler's ports from those of the gateway on the same box.
func offset(role string) int {
	if role == member.Scheduler {
		return 1
	}
	return 0
}

// reached returns the address by which the daemons reach what listens at ip and
// port.
func (f *Fleet) reached(ip string, port int) string {
	if f.Spec.Proxied {
		port += proxyOffset
	}
	return join(ip, port)
}

// Range returns the addresses of a part of the fleet: platform, dc1 (its boxes
// and engines), boxes1 (the boxes of a data centre), box1.2, engine1.2 or all.
func (f *Fleet) Range(part string) (low, high netip.Addr, err error) {
	at := func(first, last int) (netip.Addr, netip.Addr, error) {
		return netip.MustParseAddr(f.ip(first)), netip.MustParseAddr(f.ip(last)), nil
	}
	numbers := strings.TrimLeft(part, "abcdefghijklmnopqrstuvwxyz")
	kind := strings.TrimSuffix(part, numbers)
	first, second, _ := strings.Cut(numbers, ".")
	c, _ := strconv.Atoi(first)  // zero for parts without a number
	n, _ := strconv.Atoi(second) // the same
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
	return low, high, errors.Errorf("fleet: part %q: write all, platform, dc1, boxes1, box1.2 or engine1.2", part)
}
