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

// edgeRole is the last part of the process name of an edge box, which runs a single process.
const edgeRole = "edge"

// readyPort serves the load balancer's readiness checks. The other ports are those of a gateway.
const readyPort = 8081

// ReadyAddress returns the address of an edge box's readiness check.
func (f *Fleet) ReadyAddress(centre, box int) string {
	return fmt.Sprintf("%s:%d", f.boxIP(centre, box), readyPort)
}

// Documents in the format of the users' platform: a box's settings, a configuration with a
// route to a service that runs a model, and the registration of an endpoint of this service.
var (
	//go:embed users/settings.toml
	EdgeSettings string
	//go:embed users/config.json
	edgeConfig string
	//go:embed users/streams.json
	streamConfig string // its route's streams may be resumed
	//go:embed users/server.json
	edgeRegistration string
)

// StartEdge starts the single process of a box on the users' platform and waits until its
// readiness check succeeds. In the settings, which have that platform's format, it expands
// $BOX, $ZONE, $IP, $CALLERS, $READY, $PEERS, $PEERSPORT, $METRICSPORT and $STORE to the
// values of this box, and $SEED to the address of the first box of the first data centre.
// The process's standard output goes to out, or to its log if out is nil.
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
	options := processOptions{environment: []string{platform.SettingsVariable + "=" + path}, stdout: out}
	if err := f.runWithOptions(options, DaemonName(centre, box, edgeRole), "cairnwick"); err != nil {
		return err
	}
	return f.waitForOK(ctx, "http://"+f.ReadyAddress(centre, box)+"/")
}

// PublishEdgeConfig publishes the configuration with the given version.
func (f *Fleet) PublishEdgeConfig(ctx context.Context, version uint64) error {
	text := strings.Replace(edgeConfig, `"version": 7`, fmt.Sprintf(`"version": %d`, version), 1)
	return f.Put(ctx, platformtest.ConfigKey, []byte(text))
}

// PublishEdge publishes the configuration and the registration of every engine.
func (f *Fleet) PublishEdge(ctx context.Context) error {
	if err := f.Put(ctx, platformtest.ConfigKey, []byte(edgeConfig)); err != nil {
		return err
	}
	for c := 1; c <= f.Spec.Centres; c++ {
		for e := 1; e <= f.Spec.Engines; e++ {
			bootID, err := f.BootID(ctx, c, e)
			if err != nil {
				return err
			}
			registration := strings.ReplaceAll(edgeRegistration, "$ADDRESS", f.EngineAddress(c, e))
			if err := f.Put(ctx, platformtest.EndpointKey(bootID), []byte(registration)); err != nil {
				return err
			}
		}
	}
	return nil
}

// BootID waits until an engine responds and returns its boot ID.
func (f *Fleet) BootID(ctx context.Context, centre, number int) (string, error) {
	bootID := ""
	err := f.poll(ctx, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.EngineAddress(centre, number)+"/control/counts", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		bootID = resp.Header.Get(engine.BootHeader)
		return resp.Body.Close()
	})
	return bootID, err
}

// Delete deletes a key, as an endpoint of the users does with its registration.
func (f *Fleet) Delete(ctx context.Context, key string) error {
	_, err := doRequest(ctx, http.MethodDelete, "http://"+f.PlatformAddress()+"/v1/kv/"+key, nil)
	return errors.Wrapf(err, "fleet: delete key %s", key)
}

// PublishStreamConfig publishes a configuration with a route whose streams may be resumed.
func (f *Fleet) PublishStreamConfig(ctx context.Context) error {
	return f.Put(ctx, platformtest.ConfigKey, []byte(streamConfig))
}

// RestartEngine restarts an engine with a version of its software, and publishes its registration. It returns the registration's
// key.
func (f *Fleet) RestartEngine(ctx context.Context, centre, number int, software string) (key string, err error) {
	if _, err := f.BootID(ctx, centre, number); err != nil { // it may still be starting
		return "", err
	}
	if err := Post(ctx, "http://"+f.EngineAddress(centre, number)+"/control/restart?software="+software); err != nil {
		return "", err
	}
	bootID, err := f.BootID(ctx, centre, number)
	if err != nil {
		return "", err
	}
	registration := strings.NewReplacer("$ADDRESS", f.EngineAddress(centre, number), `"zone": "dc1"`,
		fmt.Sprintf(`"zone": %q, "version": %q`, CentreName(centre), software)).Replace(edgeRegistration)
	key = platformtest.EndpointKey(bootID)
	return key, f.Put(ctx, key, []byte(registration))
}
