// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"github.com/pkg/errors"
)

const (
	serviceCallRate  = 20 // per second, with a key each
	serviceCallTries = 3  // of a call that was promised not to have run
	serviceCallWait  = 200 * time.Millisecond
	serviceTimeout   = 30 * time.Second
)

// setLateRefusals has the last engine of each data centre and the services refuse a share of their requests after they began.
func (r *faultRun) setLateRefusals(ctx context.Context) error {
	if r.LateRefusals <= 0 {
		return nil
	}
	command := fmt.Sprintf("refuse-late?share=%v&seed=%d", r.LateRefusals, r.Seed)
	if err := r.controlEngines(ctx, faultEngines, command); err != nil {
		return err
	}
	return fleet.Post(ctx, "http://"+r.fleet.ServiceAddress(1)+"/control/"+command)
}

// serviceCalls is what the callers of a service got.
type serviceCalls struct {
	sent        int
	promisedIDs []string // of the tries that did not run, as a gateway promised
}

// callServices makes calls that may run once through random gateways, until the load ends. A call that did not run, as a gateway
// promises, is sent again with its key.
func (r *faultRun) callServices(ctx context.Context) serviceCalls {
	var calls serviceCalls
	if r.LateRefusals <= 0 {
		return calls
	}
	random := rand.New(rand.NewPCG(r.Seed, 2))
	client := &http.Client{Timeout: serviceTimeout}
	defer client.CloseIdleConnections()
	ctx, stop := context.WithTimeout(ctx, r.Time)
	defer stop()
	promised := make(chan []string)
	tick := time.NewTicker(time.Second / serviceCallRate)
	defer tick.Stop()
	for pending, running := 0, true; running || pending > 0; {
		select {
		case <-tick.C:
			if !running {
				continue
			}
			pending++
			calls.sent++
			gateways := r.randomGateways(random)
			go func() { promised <- callOnce(client, gateways) }()
		case ids := <-promised:
			pending--
			calls.promisedIDs = append(calls.promisedIDs, ids...)
		case <-ctx.Done():
			running = false
			ctx = context.Background()
		}
	}
	return calls
}

// randomGateways returns the addresses for the tries of one call.
func (r *faultRun) randomGateways(random *rand.Rand) []string {
	var list []string
	for range serviceCallTries {
		list = append(list, r.fleet.CallersAddress(1+random.IntN(faultDataCentres), 1+random.IntN(faultBoxes)))
	}
	return list
}

// callOnce makes a call that may run once, again while it is promised that it did not run. It returns the IDs of the tries with
// such a promise.
func callOnce(client *http.Client, gateways []string) (promised []string) {
	key := load.NewKey()
	for _, address := range gateways {
		id, notRun := callService(client, key, address)
		if !notRun {
			return promised
		}
		promised = append(promised, id)
		time.Sleep(serviceCallWait)
	}
	return promised
}

// callService makes a call and returns its ID, and whether the response promises that it did not run: by the header, or, without
// it, by the body.
func callService(client *http.Client, key, gateway string) (id string, notRun bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+gateway+"/services/"+fleet.ServiceName+"/bookings", nil)
	if err != nil {
		return "", false
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	var body struct {
		Error struct {
			Ran string `json:"ran"`
		} `json:"error"`
	}
	err = json.NewDecoder(resp.Body).Decode(&body)
	ran := resp.Header.Get("Cairn-Ran")
	if ran == "" && err == nil {
		ran = body.Error.Ran
	}
	return resp.Header.Get("X-Request-Id"), ran == "not_run"
}

// checkServiceCalls prints what the service got, and reports whether it got a call that did not run, as a gateway promised.
func (r *faultRun) checkServiceCalls(ctx context.Context, w io.Writer, calls serviceCalls) (lied bool, err error) {
	if r.LateRefusals <= 0 {
		return false, nil
	}
	refused := 0
	for c := 1; c <= faultDataCentres; c++ {
		var n struct{ Refused int }
		if err := r.engineCounts(ctx, c, faultEngines, "refuse-late", &n); err != nil {
			return false, err
		}
		refused += n.Refused
	}
	raw, err := fleet.Get(ctx, "http://"+r.fleet.ServiceAddress(1)+"/control/runs")
	if err != nil {
		return false, err
	}
	var ran []string
	if err := json.Unmarshal(raw, &ran); err != nil {
		return false, errors.Wrap(err, "measure: decode the calls of a service")
	}
	lies := 0
	for _, id := range calls.promisedIDs {
		if slices.Contains(ran, id) {
			lies++
		}
	}
	fmt.Fprintf(w, "engines refused %d requests that had begun\nservice calls: sent=%d ran=%d promised_not_run=%d lied=%d\n",
		refused, calls.sent, len(ran), len(calls.promisedIDs), lies)
	return lies > 0, nil
}
