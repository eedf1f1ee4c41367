package netio

import (
	"strings"
	"testing"
	"time"
)

// A loop that is told to stop does not sleep first until something else happens.
func TestStopDoesNotSleep(t *testing.T) {
	for name, stop := range map[string]func(*Loop){
		"by a timer": func(l *Loop) { l.Timers.Add(l.Now(), l.Stop) },
		"by a timer, as another is far away": func(l *Loop) {
			l.Timers.Add(l.Now(), l.Stop)
			l.Timers.Add(l.Now()+time.Hour, func() {})
		},
	} {
		l, err := New(64)
		if err != nil {
			t.Fatal(err)
		}
		stop(l)
		done := make(chan struct{})
		go func() {
			l.Run()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(awaitLimit):
			t.Errorf("%s: it continues", name)
			l.Post(func() {})
			<-done
		}
	}
}

// Urgent work waits for one other function at most, and work that is posted by another waits for the next iteration.
func TestWorkOrder(t *testing.T) {
	w := workQueue{wake: make(chan struct{}, 1)}
	var order []string
	note := func(name string) func() { return func() { order = append(order, name) } }
	w.post(func() {
		note("first")()
		w.post(note("posted by first"))
		w.postFirst(note("urgent by first"))
	})
	w.post(note("second"))
	w.postFirst(note("urgent"))
	w.run()
	if got, want := strings.Join(order, ", "), "urgent, first, urgent by first, second"; got != want {
		t.Errorf("ran %s, want %s", got, want)
	}
	w.run()
	if got, want := order[len(order)-1], "posted by first"; got != want {
		t.Errorf("ran %s last, want %s", got, want)
	}
}

// The clock goes forward to what it is set to, and never back.
func TestAdvanceClock(t *testing.T) {
	c := newClock()
	start := c.now()
	c.advance(start + time.Hour)
	if ahead := c.now(); ahead < start+time.Hour {
		t.Errorf("%v after the start, want an hour", ahead-start)
	}
	c.advance(start)
	if now := c.now(); now < start+time.Hour {
		t.Errorf("the clock went back to %v after the start", now-start)
	}
}
