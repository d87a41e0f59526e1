// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdCompletion sends a completion request and prints the result on one line: completion
// gateway=1.1 model=NAME expect=NAME@VERSION tokens=4 stream=yes class=C key=K
// deadline=D attempts=N. With attempts, it sends up to N requests as long as they are rejected as not run, each
// after the delay that the gateway asked for. With !, the request must fail.
func cmdCompletion(ts *testscript.TestScript, neg bool, args []string) {
	o, _ := parseOptions(args)
	state := stateOf(ts)
	c, b := parsePosition(ts, o["gateway"])
	tokens := intOption(ts, o, "tokens", 4)
	q := fleet.Request{
		Address: state.fleet.CallersAddress(c, b),
		Model:   o["model"],
		Expect:  o["expect"],
		Tokens:  tokens,
		Stream:  o["stream"] == "yes",
		Header:  map[string]string{},
	}
	for name, header := range map[string]string{"class": "Cairn-Class", "deadline": "Cairn-Deadline", "key": "Idempotency-Key", "repeatable": "Cairn-Repeatable", "caller": "Cairn-Caller"} {
		if o[name] != "" {
			q.Header[header] = o[name]
		}
	}
	r, err := state.client.Do(context.Background(), q)
	ts.Check(err)
	for attempts := intOption(ts, o, "attempts", 1); attempts > 1 && r.Execution == "not_run" && r.RetryAfter > 0; attempts-- {
		time.Sleep(r.RetryAfter)
		r, err = state.client.Do(context.Background(), q)
		ts.Check(err)
	}
	if r.Execution == "not_run" {
		state.notRunIDs = append(state.notRunIDs, r.RequestID)
	}
	ts.Setenv("REQUEST", r.RequestID)
	fmt.Fprintf(ts.Stdout(), "status=%d code=%s ran=%s retry=%v complete=%v model=%s endpoint=%s revision=%s\n",
		r.Status, r.Code, r.Execution, r.RetryAfter > 0, r.Complete, r.Header.Get("Cairn-Model"), r.Header.Get("Cairn-Endpoint"), r.Header.Get("Cairn-Revision"))
	if neg == r.Complete {
		ts.Fatalf("complete=%v code=%s text=%q", r.Complete, r.Code, r.Text)
	}
	if r.Complete && q.Expect != "" {
		ts.Check(r.Validate(q.Expect, tokens))
	}
}

// cmdHTTP sends an HTTP request and prints the status and the body of the response: http METHOD URL
// body=TEXT header=NAME:VALUE size=BYTES. With size, the body is that many spaces. See resolveURL for the
// URL, which has no scheme. With !, the status must be 400 or above; else it must be below.
func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	o, _ := parseOptions(args[2:])
	r, err := http.NewRequest(args[0], "http://"+resolveURL(ts, args[1]), strings.NewReader(o["body"]))
	ts.Check(err)
	for _, h := range optionValues(o["header"]) {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, value)
	}
	if size := intOption(ts, o, "size", 0); size > 0 {
		r.Body = io.NopCloser(bytes.NewReader(bytes.Repeat([]byte(" "), size)))
		r.ContentLength = int64(size)
	}
	resp, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "status=%d %s\n", resp.StatusCode, text)
	if neg != (resp.StatusCode >= 400) {
		ts.Fatalf("status %d: %s", resp.StatusCode, text)
	}
}

// resolveURL replaces the host of a URL without scheme by the address of a process: gateway1.1,
// operators-gateway:1.1 for a daemon's health checks and metrics, engine1.1 or platform.
func resolveURL(ts *testscript.TestScript, url string) string {
	state := stateOf(ts)
	host, path, _ := strings.Cut(url, "/")
	switch {
	case strings.HasPrefix(host, "gateway"):
		c, b := parsePosition(ts, host[len("gateway"):])
		host = state.fleet.CallersAddress(c, b)
	case strings.HasPrefix(host, "operators-"):
		role, at, _ := strings.Cut(host[len("operators-"):], ":")
		c, b := parsePosition(ts, at)
		host = state.fleet.OperatorsAddress(c, b, role)
	case strings.HasPrefix(host, "engine"):
		c, e := parsePosition(ts, host[len("engine"):])
		host = state.fleet.EngineAddress(c, e)
	case host == "platform":
		host = state.fleet.PlatformAddress()
	}
	return host + "/" + path
}

// cmdDisconnect sends a streaming completion request and closes the connection after the first three events:
// disconnect gateway=1.1 model=NAME tokens=200.
func cmdDisconnect(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	state := stateOf(ts)
	c, b := parsePosition(ts, o["gateway"])
	conn, err := net.Dial("tcp", state.fleet.CallersAddress(c, b))
	ts.Check(err)
	defer conn.Close()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"prompt":"x"}`, o["model"], intOption(ts, o, "tokens", 200))
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	ts.Check(err)
	in := bufio.NewReader(conn)
	for events := 0; events < 3; {
		line, err := in.ReadString('\n')
		ts.Check(err)
		if strings.HasPrefix(line, "data:") {
			events++
		}
	}
}

// cmdKeys sets environment variables to new idempotency keys: keys A B.
func cmdKeys(ts *testscript.TestScript, _ bool, args []string) {
	_, rest := parseOptions(args)
	for _, n := range rest {
		ts.Setenv(n, load.NewKey())
	}
}

// cmdWaitIdle waits until no daemon has a request in progress, an outstanding grant or a waiting request.
func cmdWaitIdle(ts *testscript.TestScript, _ bool, _ []string) {
	state := stateOf(ts)
	waitUntil(ts, 20*time.Second, "daemons are not idle", func() string { return describeBusy(state) })
}

// describeBusy describes the requests and grants that a reachable daemon still has. It returns an empty string
// if there are none.
func describeBusy(state *scriptState) string {
	names := map[string]string{"gateway": "gateway_in_flight", "scheduler": "scheduler_outstanding"}
	idle := map[string]string{"gateway": "0", "scheduler": `{"grants":0,"waiting":0}`}
	busy := ""
	forEachDaemon(state, func(c, b int, role string) {
		v := readMetrics(state.fleet.OperatorsAddress(c, b, role))
		if value := string(v[names[role]]); v != nil && value != idle[role] {
			busy = fmt.Sprintf("%s has %s", fleet.DaemonName(c, b, role), value)
		}
	})
	return busy
}

// readMetrics returns a daemon's metrics, or nil if they can't be read.
func readMetrics(address string) map[string]json.RawMessage {
	raw, err := fleet.Get(context.Background(), "http://"+address+"/debug/vars")
	if err != nil {
		return nil
	}
	v := make(map[string]json.RawMessage)
	if json.Unmarshal(raw, &v) != nil {
		return nil
	}
	return v
}

// cmdWaitMembers waits until every daemon sees all daemons of its data centre as alive.
func cmdWaitMembers(ts *testscript.TestScript, _ bool, _ []string) {
	state := stateOf(ts)
	want := fmt.Sprintf(`{"alive":%d}`, 2*state.fleet.Spec.Boxes)
	waitUntil(ts, 30*time.Second, "membership views are incomplete", func() string {
		incomplete := ""
		forEachDaemon(state, func(c, b int, role string) {
			v := readMetrics(state.fleet.OperatorsAddress(c, b, role))
			if string(v["cairn_members"]) != want {
				incomplete = fmt.Sprintf("%s sees %s", fleet.DaemonName(c, b, role), v["cairn_members"])
			}
		})
		return incomplete
	})
}

// cmdMetricAtMost checks that a metric of a daemon is at most LIMIT: metricatmost
// gateway1.1 NAME LIMIT.
func cmdMetricAtMost(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	role, at := "gateway", args[0]
	for _, r := range []string{"gateway", "scheduler"} {
		if rest, found := strings.CutPrefix(args[0], r); found {
			role, at = r, rest
		}
	}
	c, b := parsePosition(ts, at)
	v := readMetrics(state.fleet.OperatorsAddress(c, b, role))
	n, err := strconv.Atoi(string(v[args[1]]))
	ts.Check(err)
	limit, err := strconv.Atoi(args[2])
	ts.Check(err)
	if n > limit {
		ts.Fatalf("%s of %s is %d, above the limit of %d", args[1], args[0], n, limit)
	}
}
