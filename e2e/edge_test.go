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

// cmdEdge starts the single process of a box on the users' platform with the settings in a file,
// and waits until it is ready: edge 1.1 settings.toml.
func cmdEdge(ts *testscript.TestScript, _ bool, args []string) {
	c, b := place(ts, args[0])
	ts.Check(worldOf(ts).fleet.StartEdge(context.Background(), c, b, ts.ReadFile(args[1]), nil))
}

// cmdFact publishes a file under a key: fact KEY FILE engine=1.1. With an engine, its current
// boot ID is appended to the key and set as ENDPOINT, and $ADDRESS in the file is replaced by its address.
func cmdFact(ts *testscript.TestScript, _ bool, args []string) {
	o, rest := options(args)
	w := worldOf(ts)
	key, text := rest[0], ts.ReadFile(rest[1])
	if o["engine"] != "" {
		c, n := place(ts, o["engine"])
		life, err := w.fleet.BootID(context.Background(), c, n)
		ts.Check(err)
		key, text = key+life, strings.ReplaceAll(text, "$ADDRESS", w.fleet.EngineAddress(c, n))
		ts.Setenv("ENDPOINT", life)
	}
	ts.Check(w.fleet.Put(context.Background(), key, []byte(text)))
}

// cmdRemove deletes a key: remove servers/$ENDPOINT.
func cmdRemove(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(worldOf(ts).fleet.Delete(context.Background(), args[0]))
}

// sent is the result of a request to a box on the users' platform.
type sent struct {
	status int
	retry  string
	whole  bool // the body was complete
	text   string
	err    error // there was no response
}

func (s sent) String() string {
	return fmt.Sprintf("status=%d retry=%t whole=%t %v %s", s.status, s.retry != "", s.whole, s.err, s.text)
}

// cmdSend sends a request to a box on the users' platform and prints the result: send
// edge=1.1 path=/a/x body=TEXT header=NAME:VALUE. Its ID is set as REQUEST. With later=yes, it
// runs in the background; the command answered prints its result. With until=TEXT, it is sent again, each time
// with a new ID, until the response contains the text.
func cmdSend(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := options(args)
	w := worldOf(ts)
	c, b := place(ts, o["edge"])
	url, body := "http://"+w.fleet.CallersAddress(c, b)+o["path"], "{}"
	if o["body"] != "" {
		body = o["body"]
	}
	deadline := time.Now().Add(15 * time.Second)
	for {
		id := load.NewKey()
		ts.Setenv("REQUEST", id)
		if o["later"] == "yes" {
			w.sent = make(chan sent, 1)
			go func() { w.sent <- send(url, id, body, lines(o["header"])) }()
			return
		}
		s := send(url, id, body, lines(o["header"]))
		if o["until"] == "" || strings.Contains(s.text, o["until"]) {
			fmt.Fprintln(ts.Stdout(), s)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no response contains %q; the last one: %s", o["until"], s)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// cmdAnswered waits for the request in the background and prints its result.
func cmdAnswered(ts *testscript.TestScript, _ bool, _ []string) {
	fmt.Fprintln(ts.Stdout(), <-worldOf(ts).sent)
}

func send(url, id, body string, headers []string) sent {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return sent{err: err}
	}
	platformtest.SetAttemptID(r.Header, id)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, value)
		if name == "Host" {
			r.Host = value
		}
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return sent{err: err}
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return sent{status: a.StatusCode, retry: a.Header.Get("Retry-After"), whole: err == nil, text: string(text)}
}

// cmdMetric prints a metric of a box on the users' platform: metric edge1.1 edge_refusals.
func cmdMetric(ts *testscript.TestScript, _ bool, args []string) {
	c, b := place(ts, strings.TrimPrefix(args[0], "edge"))
	raw, err := fleet.Get(context.Background(), "http://"+worldOf(ts).fleet.OperatorsAddress(c, b, "gateway")+"/metrics")
	ts.Check(err)
	all := make(map[string]json.RawMessage)
	ts.Check(json.Unmarshal(raw, &all))
	if all[args[1]] == nil {
		ts.Fatalf("metric %s is missing", args[1])
	}
	fmt.Fprintf(ts.Stdout(), "%s\n", all[args[1]])
}

// cmdPress sends requests to boxes on the users' platform at a constant rate, with the boxes and the adapters
// in rotation, and prints the number of responses by status: press edges=1.1,2.1 rate=40 for=2s adapters=6.
func cmdPress(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := options(args)
	w := worldOf(ts)
	span, err := time.ParseDuration(o["for"])
	ts.Check(err)
	rate, adapters := number(ts, o, "rate", 40), number(ts, o, "adapters", 6)
	var urls []string
	for _, e := range strings.Split(o["edges"], ",") {
		c, b := place(ts, e)
		urls = append(urls, "http://"+w.fleet.CallersAddress(c, b)+"/a/x")
	}
	count := int(span.Seconds() * float64(rate))
	answers := make(chan sent, count)
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := range count {
		<-tick.C
		headers := []string{"Host:h.example", fmt.Sprintf("Model:advice/a%d", i%adapters+1), "Token-Usage:10,2"}
		go func() { answers <- send(urls[i%len(urls)], load.NewKey(), "{}", headers) }()
	}
	statuses := make(map[int]int)
	for range count {
		statuses[(<-answers).status]++
	}
	fmt.Fprintln(ts.Stdout(), statuses)
	ts.Logf("%v", statuses)
}
