// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/grpc/credentials/insecure"
)

// oddAddresses are addresses that no daemon has.
var oddAddresses = []string{
	"", "%", "%zz:80", "\x00", "\x7f:1", "127.0.0.1:80\n", "a b:1", "[::1", "/", "?", "#%", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1",
	"127.0.0.1:" + strings.Repeat("9", 1000), "127.0.0.1:http",
}

// Guards against an address that another process published, and that ends the daemons that call it.
func TestCallToAnOddAddressFails(t *testing.T) {
	for _, address := range oddAddresses {
		t.Run(fmt.Sprintf("%.20q", address), func(t *testing.T) {
			c := quicktest.New(t)
			d := &Dialer{Credentials: insecure.NewCredentials(), Dial: countingDialer(&new(Traffic).Peers, time.Second, "")}
			defer d.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := d.Peer(address).Exchange(ctx, nil)
			c.Check(err, quicktest.IsNotNil)
		})
	}
}
