// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// edgeRole is the part of the name of a box's one process on the users' platform.
const edgeRole = "edge"

// edgeSettings is the environment variable with the path of that process's settings.
const edgeSettings = "CAIRNWICK_BOOT"

// readyPort takes the balancer's questions; the other ports are those of a gateway.
const readyPort = 8081

// ReadyAddress returns where the balancer asks a box on the users' platform.
func (f *Fleet) ReadyAddress(centre, box int) string {
	return fmt.Sprintf("%s:%d", f.boxIP(centre, box), readyPort)
}

// StartEdge starts the one process of a box on the users' platform, with settings in that
// platform's form, in which $BOX, $ZONE, $IP, $CALLERS, $READY, $PEERS, $PEERSPORT,
// $METRICSPORT and $STORE stand for what is this box's, and $SEED for its first data centre's
// first box. It returns when the box answers the
// balancer.
func (f *Fleet) StartEdge(ctx context.Context, centre, box int, settings string) error {
	values := map[string]string{
		"BOX":         BoxName(centre, box),
		"ZONE":        CentreName(centre),
		"IP":          f.boxIP(centre, box),
		"CALLERS":     f.CallersAddress(centre, box),
		"READY":       f.ReadyAddress(centre, box),
		"PEERS":       f.PeersAddress(centre, box, "gateway"),
		"PEERSPORT":   fmt.Sprint(peersPort),
		"METRICSPORT": fmt.Sprint(operatorsPort),
		"STORE":       f.PlatformAddress(),
		"SEED":        f.PeersAddress(1, 1, "gateway"),
	}
	text := os.Expand(settings, func(n string) string { return values[n] })
	path := filepath.Join(f.Spec.Dir, BoxName(centre, box)+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if err := f.runWith([]string{edgeSettings + "=" + path}, DaemonName(centre, box, edgeRole), "cairnwick"); err != nil {
		return err
	}
	return f.waitFor(ctx, "http://"+f.ReadyAddress(centre, box)+"/")
}

// Remove takes a value away, as the users' endpoints do with their own.
func (f *Fleet) Remove(ctx context.Context, key string) error {
	_, err := exchange(ctx, http.MethodDelete, "http://"+f.PlatformAddress()+"/v1/kv/"+key, nil)
	return errors.Wrapf(err, "fleet: remove %s", key)
}
