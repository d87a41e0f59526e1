// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// chooser chooses among endpoints whose speeds are known, as a leader does for each request.
type chooser struct {
	speeds Speeds
	names  []string
	ends   []Handle
	list   []Candidate
}

func newChooser(n int) *chooser {
	c := &chooser{list: make([]Candidate, n)}
	for i := range n {
		c.names = append(c.names, name(i))
		c.ends = append(c.ends, NewHandle(name(i)))
		c.speeds.Observe(c.names[i], Observation{Prompts: 10, Tokens: 40000, Took: time.Duration(1+i%3) * time.Second}, start)
	}
	return c
}

// choose predicts the times of a prompt at each endpoint and chooses one.
func (c *chooser) choose(i int) Decision {
	now := start.Add(time.Duration(i) * time.Microsecond)
	for k := range c.ends {
		queue, own := c.speeds.PredictFor(&c.ends[k], (i+k*7)%5000, 2223, now)
		c.list[k] = Candidate{Availability: Ready, Queue: queue, Own: own, FreeMemory: 50000, Memory: 121000}
	}
	return Choose(Request{Target: time.Second, QueueLimit: time.Second, MaxWait: 5 * time.Second}, c.list)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{90, 920} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newChooser(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if c.choose(i).Index < 0 {
					b.Fatal("refused")
				}
			}
		})
	}
}

// Guards against memory that grows with requests: a leader decides thousands per second.
func TestChoiceAllocatesNothing(t *testing.T) {
	c := newChooser(90)
	i := 0
	allocations := testing.AllocsPerRun(1000, func() {
		i++
		c.choose(i)
		c.speeds.Observe(c.names[i%90], Observation{Prompts: 1, Tokens: 3000, Took: time.Second}, start)
	})
	quicktest.Check(t, allocations, quicktest.Equals, 0.0)
}
