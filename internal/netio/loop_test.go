package netio

import (
	"strings"
	"testing"
	"time"
)

// Run returns after Stop without sleeping until the next timer or posted function first.
func TestStopDoesNotSleep(t *testing.T) {
	for name, stop := range map[string]func(*Loop){
		"stopped by its only timer": func(l *Loop) { l.Timers.Add(l.Now(), l.Stop) },
		"stopped by a timer while another is due in an hour": func(l *Loop) {
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
			t.Errorf("%s: Run has not returned after %v, want it to return at once", name, awaitLimit)
			l.Post(func() {})
			<-done
		}
	}
}

// Urgent functions wait for at most one other function, and a function that is posted by another one waits for the
// next iteration.
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
		t.Errorf("got order %s, want %s", got, want)
	}
	w.run()
	if got, want := order[len(order)-1], "posted by first"; got != want {
		t.Errorf("got %s as the last function, want %s", got, want)
	}
}

// TestAdoptClock sets the clock forward and back. It runs on from there, and a timer runs as long after the change as it
// would have run without it.
func TestAdoptClock(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		l, err := New(0)
		if err != nil {
			t.Fatal(err)
		}
		defer l.poller.stop()
		start := l.Now()
		timer := l.Timers.Add(start+time.Minute, func() {})
		l.AdoptClock(start + step)
		if offset := l.Now() - start - step; offset < 0 || offset > time.Second {
			t.Errorf("step of %v: got the clock %v after the time set, want at most a second", step, offset)
		}
		due, _ := l.Timers.Next()
		if wait := due - l.Now(); wait < 59*time.Second || wait > time.Minute {
			t.Errorf("step of %v: got a timer due in %v, want a minute or just less", step, wait)
		}
		timer.Stop()
	}
}
