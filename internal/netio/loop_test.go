package netio

import (
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
