// Package endpoint holds what the sources of the endpoint list share.
package endpoint

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/policy"
)

// maxBootMS bounds the boot times that are believed, some 280 years from 1970 on.
const maxBootMS = 1 << 43

// Updater takes the endpoint list of discovery, or a change to it.
type Updater interface {
	UpdateEndpoints(mode policy.ListMode, engines []core.Engine)
}

// SetBootTime sets when an engine started, in milliseconds of Unix time. A time that can't be
// believed, 0 among them, leaves the start unknown.
func SetBootTime(e *core.Engine, bootMS uint64) {
	if bootMS == 0 || bootMS >= maxBootMS {
		return
	}
	e.Started = time.Duration(bootMS) * time.Millisecond
	e.StartKnown = true
}
