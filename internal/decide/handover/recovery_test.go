package handover

import (
	"testing"
	"time"
)

// One table for what becomes of a request whose process died.
func TestRecover(t *testing.T) {
	const s = time.Second
	for name, tt := range map[string]struct {
		r       Request
		written int
		now     time.Duration
		want    Recovery
	}{
		"none":                        {Request{}, 0, 0, NothingToRecover},
		"never sent":                  {Request{InFlight: true, Deadline: s}, 0, 0, Resend},
		"never sent, its time over":   {Request{InFlight: true, Deadline: s}, 0, s, ReportDeadlineExceeded},
		"may run once, sent":          {Request{InFlight: true, Sent: true, Deadline: s}, 0, 0, ReportInDoubt},
		"safe, sent":                  {Request{InFlight: true, Sent: true, Idempotency: Idempotent, Deadline: s}, 0, 0, Resend},
		"keyed, in its window":        {Request{InFlight: true, Sent: true, Idempotency: IdempotentWithKey, FirstSend: s, KeyWindow: 12 * s, Deadline: 60 * s}, 0, 12 * s, Resend},
		"keyed, at its window's end":  {Request{InFlight: true, Sent: true, Idempotency: IdempotentWithKey, FirstSend: s, KeyWindow: 12 * s, Deadline: 60 * s}, 0, 13*s - keyWindowMargin, ReportInDoubt},
		"answer written":              {Request{InFlight: true, Sent: true, ResponseLength: 10, Deadline: s}, 10, 0, NothingToRecover},
		"answer known, half written":  {Request{InFlight: true, Sent: true, ResponseLength: 10, ResponseRecorded: true, Deadline: s}, 5, 0, WriteRemainder},
		"answer known, none, late":    {Request{InFlight: true, Sent: true, ResponseLength: 10, ResponseRecorded: true, Deadline: s}, 0, 2 * s, WriteRemainder},
		"answer lost, half written":   {Request{InFlight: true, Sent: true, ResponseLength: 10, Deadline: s}, 5, 0, CloseConnection},
		"answer lost, safe, none yet": {Request{InFlight: true, Sent: true, Idempotency: Idempotent, ResponseLength: 10, Deadline: s}, 0, 0, Resend},
	} {
		if got := Recover(tt.r, tt.written, tt.now); got != tt.want {
			t.Errorf("%s: %d, want %d", name, got, tt.want)
		}
	}
}
