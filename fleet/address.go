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
	platformOctet   = 1
	proxyOctet      = 2
	reservedOctet   = 3  // holds a listener that reserves the network for this fleet
	serviceOctets   = 10 // plus the number of a service, from 1
	octetsPerCentre = 40
	engineOffset    = 20 // offset within a data centre, plus the number of an engine, from 1
	lastOctet       = 254
)

// maxNetworkAttempts limits the attempts to find a free network. Some dozen fleets run at the same time.
const maxNetworkAttempts = 100

var networkCount atomic.Int32 // networks tried by this process

// reserveNetwork returns the first three octets of a fleet's loopback addresses, and a listener that reserves
// them until it is closed. Process IDs alone are not unique enough: two fleets of different processes could
// get the same addresses, so that each one's processes would answer for the other's.
func reserveNetwork() (network string, reservation net.Listener) {
	for n := range maxNetworkAttempts {
		network = fmt.Sprintf("127.%d.%d", 16+int(networkCount.Add(1))%200, 1+(os.Getpid()+n)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, reservedOctet, standinPort))
		if err == nil {
			return network, l
		}
	}
	return network, nil // none is free: the processes will fail with "address already in use"
}

// ip returns the fleet's address with the given last octet.
func (f *Fleet) ip(octet int) string { return fmt.Sprintf("%s.%d", f.network, octet) }

func (f *Fleet) platformIP() string { return f.ip(platformOctet) }

func (f *Fleet) boxIP(centre, box int) string { return f.ip(octetsPerCentre*centre + box) }

func (f *Fleet) engineIP(centre, engine int) string {
	return f.ip(octetsPerCentre*centre + engineOffset + engine)
}

func joinHostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// ServiceAddress returns the address of a plain service.
func (f *Fleet) ServiceAddress(i int) string { return joinHostPort(f.ip(serviceOctets+i), standinPort) }

// EngineAddress returns the address of an engine.
func (f *Fleet) EngineAddress(centre, engine int) string {
	return joinHostPort(f.engineIP(centre, engine), standinPort)
}

// PlatformAddress returns the address of the platform.
func (f *Fleet) PlatformAddress() string { return joinHostPort(f.platformIP(), standinPort) }

// ProxyAddress returns the address at which the proxy accepts its rules.
func (f *Fleet) ProxyAddress() string { return joinHostPort(f.ip(proxyOctet), standinPort) }

// CallersAddress returns the address at which a gateway accepts requests of callers.
func (f *Fleet) CallersAddress(centre, box int) string {
	return joinHostPort(f.boxIP(centre, box), callersPort)
}

// PeersAddress returns the address at which a daemon accepts connections of its peers.
func (f *Fleet) PeersAddress(centre, box int, role string) string {
	return joinHostPort(f.boxIP(centre, box), peersPort+offset(role))
}

// OperatorsAddress returns the address of a daemon's health checks and metrics.
func (f *Fleet) OperatorsAddress(centre, box int, role string) string {
	return joinHostPort(f.boxIP(centre, box), operatorsPort+offset(role))
}

// offset separates a scheduler's ports from those of the gateway on the same box.
func offset(role string) int {
	if role == member.Scheduler {
		return 1
	}
	return 0
}

// daemonAddress returns the address at which the daemons reach a listener, which is the proxy's
// if the fleet has one.
func (f *Fleet) daemonAddress(ip string, port int) string {
	if f.Spec.Proxied {
		port += proxyOffset
	}
	return joinHostPort(ip, port)
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
	centre := octetsPerCentre * c
	switch kind {
	case "all":
		return at(1, lastOctet)
	case "platform":
		return at(platformOctet, platformOctet)
	case "dc":
		return at(centre, centre+octetsPerCentre-1)
	case "boxes":
		return at(centre, centre+engineOffset-1)
	case "box":
		return at(centre+n, centre+n)
	case "engine":
		return at(centre+engineOffset+n, centre+engineOffset+n)
	}
	return low, high, errors.Errorf("fleet: invalid part %q: must be all, platform, dc1, boxes1, box1.2 or engine1.2", part)
}
