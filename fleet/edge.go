// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	_ "embed" // the documents
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"cairnwick.example/engine"
	"cairnwick.example/platform"
	"cairnwick.example/platform/platformtest"
	"github.com/pkg/errors"
)

// edgeRole is the part of the name of a box's one process on the users' platform.
const edgeRole = "edge"

// readyPort takes the balancer's questions; the other ports are those of a gateway.
const readyPort = 8081

// ReadyAddress returns where the balancer asks a box on the users' platform.
func (f *Fleet) ReadyAddress(centre, box int) string {
	return fmt.Sprintf("%s:%d", f.boxIP(centre, box), readyPort)
}

// Documents in the form of the users' platform: a box's settings, a configuration with one
// route to one service that runs a model, and the entry of an endpoint of it.
var (
	//go:embed users/settings.toml
	EdgeSettings string
	//go:embed users/config.json
	edgeConfig string
	//go:embed users/server.json
	edgeServer string
)

// StartEdge starts the one process of a box on the users' platform, with settings in that
// platform's form, in which $BOX, $ZONE, $IP, $CALLERS, $READY, $PEERS, $PEERSPORT,
// $METRICSPORT and $STORE stand for what is this box's, and $SEED for its first data centre's
// first box. It writes to out, or to its log when that is nil. StartEdge returns when the
// box answers the balancer.
func (f *Fleet) StartEdge(ctx context.Context, centre, box int, settings string, out *os.File) error {
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
	o := surroundings{environment: []string{platform.SettingsVariable + "=" + path}, stdout: out}
	if err := f.runWith(o, DaemonName(centre, box, edgeRole), "cairnwick"); err != nil {
		return err
	}
	return f.waitFor(ctx, "http://"+f.ReadyAddress(centre, box)+"/")
}

// PublishEdgeConfig publishes the configuration under another version.
func (f *Fleet) PublishEdgeConfig(ctx context.Context, version uint64) error {
	text := strings.Replace(edgeConfig, `"version": 7`, fmt.Sprintf(`"version": %d`, version), 1)
	return f.Put(ctx, platformtest.ConfigKey, []byte(text))
}

// PublishEdge publishes the configuration and an entry for each engine.
func (f *Fleet) PublishEdge(ctx context.Context) error {
	if err := f.Put(ctx, platformtest.ConfigKey, []byte(edgeConfig)); err != nil {
		return err
	}
	for c := 1; c <= f.Spec.Centres; c++ {
		for e := 1; e <= f.Spec.Engines; e++ {
			life, err := f.Life(ctx, c, e)
			if err != nil {
				return err
			}
			entry := strings.ReplaceAll(edgeServer, "$ADDRESS", f.EngineAddress(c, e))
			if err := f.Put(ctx, platformtest.EndpointKey(life), []byte(entry)); err != nil {
				return err
			}
		}
	}
	return nil
}

// Life waits until an engine answers, and returns which life of it does.
func (f *Fleet) Life(ctx context.Context, centre, number int) (string, error) {
	life := ""
	err := f.await(ctx, func() error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.EngineAddress(centre, number)+"/control/counts", nil)
		if err != nil {
			return err
		}
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		life = a.Header.Get(engine.BootHeader)
		return a.Body.Close()
	})
	return life, err
}

// Remove takes a value away, as the users' endpoints do with their own.
func (f *Fleet) Remove(ctx context.Context, key string) error {
	_, err := exchange(ctx, http.MethodDelete, "http://"+f.PlatformAddress()+"/v1/kv/"+key, nil)
	return errors.Wrapf(err, "fleet: remove %s", key)
}
