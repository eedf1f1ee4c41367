// Package endpoint holds the types and helpers that all sources of the endpoint list share.
package endpoint

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/policy"
)

// maxBootMS is the exclusive upper bound of plausible boot times in milliseconds of Unix time, about 280 years after 1970.
const maxBootMS = 1 << 43

// Updater receives the endpoint list, or a change to it, from discovery.
type Updater interface {
	// UpdateEndpoints replaces the list by the engines or applies them as changes, depending on the mode.
	UpdateEndpoints(mode policy.ListMode, engines []core.Engine)
	// EndpointsUnavailable tells that discovery does not answer, and for how long the list may have been out of date.
	EndpointsUnavailable(silentFor time.Duration)
	// EndpointsCurrent tells that the list is up to date again.
	EndpointsCurrent()
}

// SetBootTime sets the start of an engine from its boot time in milliseconds of Unix time. An
// implausible time, including 0, leaves the start unknown.
func SetBootTime(e *core.Engine, bootMS uint64) {
	if bootMS == 0 || bootMS >= maxBootMS {
		return
	}
	e.Started = time.Duration(bootMS) * time.Millisecond
	e.StartKnown = true
}
