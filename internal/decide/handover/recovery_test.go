package handover

import (
	"testing"
	"time"
)

// Covers every Recovery, with the boundaries of the deadline and of the key window.
func TestRecover(t *testing.T) {
	const s = time.Second
	for name, tt := range map[string]struct {
		request Request
		written int
		now     time.Duration
		want    Recovery
	}{
		"no request":                             {Request{}, 0, 0, NothingToRecover},
		"never sent":                             {Request{InFlight: true, Deadline: s}, 0, 0, Resend},
		"never sent, past the deadline":          {Request{InFlight: true, Deadline: s}, 0, s, ReportDeadlineExceeded},
		"not idempotent, sent":                   {Request{InFlight: true, Sent: true, Deadline: s}, 0, 0, ReportInDoubt},
		"idempotent, sent":                       {Request{InFlight: true, Sent: true, Idempotency: Idempotent, Deadline: s}, 0, 0, Resend},
		"idempotent with key, in the key window": {Request{InFlight: true, Sent: true, Idempotency: IdempotentWithKey, Attempts: attemptsAt("e", s, 12*s), Deadline: 60 * s}, 0, 12 * s, Resend},
		"idempotent with key, at the margin of the key window": {Request{InFlight: true, Sent: true, Idempotency: IdempotentWithKey, Attempts: attemptsAt("e", s, 12*s), Deadline: 60 * s}, 0, 13*s - keyWindowMargin, ReportInDoubt},
		"idempotent with key, group unknown":                   {Request{InFlight: true, Sent: true, Idempotency: IdempotentWithKey, Attempts: attemptsAt("", s, 12*s), Deadline: 60 * s}, 0, 2 * s, ReportInDoubt},
		"idempotent with key, group of one attempt unknown":    {Request{InFlight: true, Sent: true, Idempotency: IdempotentWithKey, Attempts: append(attemptsAt("e", s, 12*s), attemptsAt("", s, 12*s)...), Deadline: 60 * s}, 0, 2 * s, ReportInDoubt},
		"idempotent with key, first window over":               {Request{InFlight: true, Sent: true, Idempotency: IdempotentWithKey, Attempts: append(attemptsAt("e", 4*s, 12*s), attemptsAt("e", s, 12*s)...), Deadline: 60 * s}, 0, 13 * s, ReportInDoubt},
		"idempotent with key, attempts unknown":                {Request{InFlight: true, Sent: true, Idempotency: IdempotentWithKey, Deadline: 60 * s}, 0, 2 * s, ReportInDoubt},
		"response written":                                     {Request{InFlight: true, Sent: true, ResponseLength: 10, Deadline: s}, 10, 0, NothingToRecover},
		"response recorded, half written":                      {Request{InFlight: true, Sent: true, ResponseLength: 10, ResponseRecorded: true, Deadline: s}, 5, 0, WriteRemainder},
		"response recorded, none written, past the deadline":   {Request{InFlight: true, Sent: true, ResponseLength: 10, ResponseRecorded: true, Deadline: s}, 0, 2 * s, WriteRemainder},
		"response lost, half written":                          {Request{InFlight: true, Sent: true, ResponseLength: 10, Deadline: s}, 5, 0, CloseConnection},
		"response lost, none written, idempotent":              {Request{InFlight: true, Sent: true, Idempotency: Idempotent, ResponseLength: 10, Deadline: s}, 0, 0, Resend},
	} {
		if got := Recover(tt.request, tt.written, tt.now); got != tt.want {
			t.Errorf("%s: got recovery %d, want %d", name, got, tt.want)
		}
	}
}
