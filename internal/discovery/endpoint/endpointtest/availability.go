// Package endpointtest helps to test the sources of the endpoint list.
package endpointtest

import (
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/policy"
)

// callTimeout is how long Expect waits for each call.
const callTimeout = 10 * time.Second

// Availability is an endpoint.Updater that sends on the channel whether the list is current, and ignores the list.
type Availability chan bool

// UpdateEndpoints implements endpoint.Updater.
func (Availability) UpdateEndpoints(policy.ListMode, []core.Engine) {}

// EndpointsUnavailable implements endpoint.Updater.
func (a Availability) EndpointsUnavailable(time.Duration) { a <- false }

// EndpointsCurrent implements endpoint.Updater.
func (a Availability) EndpointsCurrent() { a <- true }

// Expect checks that the next calls tell that the list is current, or not, as wanted.
func (a Availability) Expect(t *testing.T, wanted ...bool) {
	t.Helper()
	for i, want := range wanted {
		select {
		case got := <-a:
			if got != want {
				t.Errorf("call %d: got the list available: %v, want %v", i+1, got, want)
			}
		case <-time.After(callTimeout):
			t.Fatalf("call %d: none within %v, want the list available: %v", i+1, callTimeout, want)
		}
	}
}
