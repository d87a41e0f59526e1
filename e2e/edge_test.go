// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"cairnwick.example/platform/platformtest"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdStartEdge starts the single process of a box on the users' platform with the settings in a file,
// and waits until it is ready: startedge 1.1 settings.toml.
func cmdStartEdge(ts *testscript.TestScript, _ bool, args []string) {
	c, b := parsePosition(ts, args[0])
	ts.Check(stateOf(ts).fleet.StartEdge(context.Background(), c, b, ts.ReadFile(args[1]), nil))
}

// cmdPublishFile publishes a file under a key: publishfile KEY FILE engine=1.1. With an engine, its current
// boot ID is appended to the key and set as ENDPOINT, and $ADDRESS in the file is replaced by its address.
func cmdPublishFile(ts *testscript.TestScript, _ bool, args []string) {
	o, rest := parseOptions(args)
	state := stateOf(ts)
	key, text := rest[0], ts.ReadFile(rest[1])
	if o["engine"] != "" {
		c, n := parsePosition(ts, o["engine"])
		bootID, err := state.fleet.BootID(context.Background(), c, n)
		ts.Check(err)
		key, text = key+bootID, strings.ReplaceAll(text, "$ADDRESS", state.fleet.EngineAddress(c, n))
		ts.Setenv("ENDPOINT", bootID)
	}
	ts.Check(state.fleet.Put(context.Background(), key, []byte(text)))
}

// cmdDeleteKey deletes a key: deletekey servers/$ENDPOINT.
func cmdDeleteKey(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(stateOf(ts).fleet.Delete(context.Background(), args[0]))
}

// sendResult is the result of a request to a box on the users' platform.
type sendResult struct {
	status     int
	retryAfter string
	complete   bool // the body was complete
	text       string
	err        error // there was no response
}

func (s sendResult) String() string {
	return fmt.Sprintf("status=%d retry=%t complete=%t %v %s", s.status, s.retryAfter != "", s.complete, s.err, s.text)
}

// cmdSend sends a request to a box on the users' platform and prints the result: send
// edge=1.1 path=/a/x body=TEXT header=NAME:VALUE. Its ID is set as REQUEST. With background=yes, it
// runs in the background; waitresponse prints its result. With until=TEXT, it is sent again, each time
// with a new ID, until the response contains the text.
func cmdSend(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	state := stateOf(ts)
	c, b := parsePosition(ts, o["edge"])
	url, body := "http://"+state.fleet.CallersAddress(c, b)+o["path"], "{}"
	if o["body"] != "" {
		body = o["body"]
	}
	deadline := time.Now().Add(15 * time.Second)
	for {
		id := load.NewKey()
		ts.Setenv("REQUEST", id)
		if o["background"] == "yes" {
			state.response = make(chan sendResult, 1)
			go func() { state.response <- send(url, id, body, optionValues(o["header"])) }()
			return
		}
		s := send(url, id, body, optionValues(o["header"]))
		if o["until"] == "" || strings.Contains(s.text, o["until"]) {
			fmt.Fprintln(ts.Stdout(), s)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no response contains %q; the last one: %s", o["until"], s)
		}
		time.Sleep(pollInterval)
	}
}

// cmdWaitResponse waits for the request in the background and prints its result.
func cmdWaitResponse(ts *testscript.TestScript, _ bool, _ []string) {
	fmt.Fprintln(ts.Stdout(), <-stateOf(ts).response)
}

func send(url, id, body string, headers []string) sendResult {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return sendResult{err: err}
	}
	platformtest.SetAttemptID(r.Header, id)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, value)
		if name == "Host" {
			r.Host = value
		}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return sendResult{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return sendResult{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), complete: err == nil, text: string(text)}
}

// cmdMetric prints a metric of a box on the users' platform: metric edge1.1 edge_refusals.
func cmdMetric(ts *testscript.TestScript, _ bool, args []string) {
	value, err := edgeMetric(ts, args[0], args[1])
	ts.Check(err)
	if value == "" {
		ts.Fatalf("metric %s is missing", args[1])
	}
	fmt.Fprintf(ts.Stdout(), "%s\n", value)
}

// cmdWaitMetric waits until a metric of a box on the users' platform has a value: waitmetric edge1.1 NAME VALUE.
func cmdWaitMetric(ts *testscript.TestScript, _ bool, args []string) {
	waitUntil(ts, 30*time.Second, args[1]+" of "+args[0]+" is not "+args[2], func() string {
		value, err := edgeMetric(ts, args[0], args[1])
		if err != nil {
			return err.Error()
		}
		if value != args[2] {
			return "it is " + value
		}
		return ""
	})
}

// edgeMetric returns a metric of a box, such as edge1.1; empty if it is missing.
func edgeMetric(ts *testscript.TestScript, box, name string) (string, error) {
	c, b := parsePosition(ts, strings.TrimPrefix(box, "edge"))
	raw, err := fleet.Get(context.Background(), "http://"+stateOf(ts).fleet.OperatorsAddress(c, b, "gateway")+"/metrics")
	if err != nil {
		return "", err
	}
	all := make(map[string]json.RawMessage)
	err = json.Unmarshal(raw, &all)
	return string(all[name]), err
}

// cmdSendLoad sends requests to boxes on the users' platform at a constant rate, with the boxes and the adapters
// in rotation, and prints the number of responses by status: sendload edges=1.1,2.1 rate=40 duration=2s adapters=6 tokens=2.
func cmdSendLoad(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	state := stateOf(ts)
	duration, err := time.ParseDuration(o["duration"])
	ts.Check(err)
	rate, adapters, tokens := intOption(ts, o, "rate", 40), intOption(ts, o, "adapters", 6), intOption(ts, o, "tokens", 2)
	var urls []string
	for _, e := range strings.Split(o["edges"], ",") {
		c, b := parsePosition(ts, e)
		urls = append(urls, "http://"+state.fleet.CallersAddress(c, b)+"/a/x")
	}
	count := int(duration.Seconds() * float64(rate))
	responses := make(chan sendResult, count)
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := range count {
		<-tick.C
		headers := []string{"Host:h.example", fmt.Sprintf("Model:advice/a%d", i%adapters+1), fmt.Sprintf("Token-Usage:10,%d", tokens)}
		go func() { responses <- send(urls[i%len(urls)], load.NewKey(), "{}", headers) }()
	}
	statuses := make(map[int]int)
	for range count {
		statuses[(<-responses).status]++
	}
	fmt.Fprintln(ts.Stdout(), statuses)
	ts.Logf("%v", statuses)
}
