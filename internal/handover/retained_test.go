package handover

import (
	"testing"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/netio"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// Input is retained until an output record without a request in flight brings a new state, which
// replaces the old one and covers the input before it, also within a transaction. Output is retained. A
// closing connection retains no input.
func TestRetainedConnection(t *testing.T) {
	r := &retainedConnection{fd: -1, state: []byte("0"), input: []byte("abc"), inputOffset: 97}
	r.recordInput(&InputRecord{Offset: 100, Data: []byte("defgh"), ReceivedAt: time.Second})
	r.request = &RequestRecord{FirstSentAt: 2 * time.Second}
	r.recordOutput(&OutputRecord{Offset: 50, Data: []byte("part"), Idle: false})
	if string(r.input) != "abcdefgh" || r.request == nil || string(r.state) != "0" {
		t.Errorf("with a request in flight: got %+v, want input abcdefgh, the request and state 0", r)
	}
	r.recordOutput(&OutputRecord{Offset: 54, Data: []byte("answer"), Idle: true, Consumed: 102, State: []byte("1")})
	if string(r.input) != "fgh" || r.inputOffset != 102 || r.request != nil || string(r.state) != "1" || string(r.output) != "partanswer" || r.outputOffset != 50 {
		t.Errorf("after the answer: got %+v, want input fgh at 102, no request, state 1 and output partanswer at 50", r)
	}
	r.recordInput(&InputRecord{Offset: 105, Data: []byte("ij")})
	r.recordOutput(&OutputRecord{Offset: 60, Data: []byte("half"), Idle: false})
	if orphan := r.orphanedRequest(0); !orphan.PartlyAnswered {
		t.Errorf("after a part of an answer: orphaned request %+v, want it partly answered", orphan)
	}
	r.recordOutput(&OutputRecord{Offset: 64, Data: []byte("rest"), Idle: true, Closing: true, InTransaction: true, Consumed: 106, State: []byte("2")})
	if orphan := r.orphanedRequest(0); orphan.PartlyAnswered || string(r.input) != "j" || string(r.state) != "2" {
		t.Errorf("after an answer within a transaction: got %+v, orphaned request %+v, want input j, state 2 and nothing answered in part", r, orphan)
	}
	r.recordOutput(&OutputRecord{Offset: 68, Data: []byte("bye"), Idle: true, Closing: true})
	if !r.closing || len(r.input) > 0 || string(r.state) != "2" {
		t.Errorf("on closing: got %+v, want closing, no input and state 2", r)
	}
}

// After the target's death the kernel reports how much of the stream both processes have read and
// written together. Input that was read but not answered is handled again, and output that was recorded but
// not written is written.
func TestRetainedAfterTargetDeath(t *testing.T) {
	const inputOffset, outputOffset = 100, 50
	for name, tt := range map[string]struct {
		position                   netio.StreamPosition
		closing                    bool
		wantUnanswered, wantOutput string
	}{
		"all read, nothing written":     {netio.StreamPosition{Read: 105, Written: 50}, false, "input", "answer"},
		"part read, part written":       {netio.StreamPosition{Read: 102, Written: 53}, false, "in", "wer"},
		"nothing read, all written":     {netio.StreamPosition{Read: 100, Written: 56}, false, "", ""},
		"before the records":            {netio.StreamPosition{Read: 90, Written: 40}, false, "", "answer"},
		"more than recorded":            {netio.StreamPosition{Read: 200, Written: 200}, false, "input", ""},
		"closing with unwritten output": {netio.StreamPosition{Read: 105, Written: 53}, true, "", "wer"},
	} {
		t.Run(name, func(t *testing.T) {
			r := &retainedConnection{
				input: []byte("input"), inputOffset: inputOffset, output: []byte("answer"), outputOffset: outputOffset, closing: tt.closing,
			}
			if got := string(r.unansweredInput(tt.position)); got != tt.wantUnanswered {
				t.Errorf("unanswered input = %q, want %q", got, tt.wantUnanswered)
			}
			if got := string(r.unwrittenOutput(tt.position)); got != tt.wantOutput {
				t.Errorf("unwritten output = %q, want %q", got, tt.wantOutput)
			}
		})
	}
}

// unknownEngine returns an attempt as a sender reports it that does not tell its engine.
func unknownEngine(window time.Duration) []policy.PriorAttempt {
	return []policy.PriorAttempt{{SentAt: 2 * time.Second, Window: window}}
}

// inZone returns an attempt at an engine whose zone drops repeats.
func inZone(window time.Duration) []policy.PriorAttempt {
	placement := policy.Placement{Engine: "e", Zone: "a", Cell: 1}
	return []policy.PriorAttempt{{SentAt: 2 * time.Second, Placement: placement, Scope: policy.DedupZone, Window: window}}
}

// What a source that does not know the group may rely on: an idempotency that holds at engines of any group.
func TestUngroupedIdempotency(t *testing.T) {
	everywhere := policy.PriorAttempt{Placement: policy.Placement{Engine: "e"}, Scope: policy.DedupAll}
	inZone := policy.PriorAttempt{Placement: policy.Placement{Engine: "e"}, Scope: policy.DedupZone}
	for name, tt := range map[string]struct {
		idempotency policy.Idempotency
		attempts    []policy.PriorAttempt
		want        decide.Idempotency
	}{
		"never ran":                 {policy.NotIdempotent, nil, decide.Idempotent},
		"not idempotent":            {policy.NotIdempotent, []policy.PriorAttempt{everywhere}, decide.NotIdempotent},
		"key known everywhere":      {policy.IdempotentWithKey, []policy.PriorAttempt{everywhere}, decide.IdempotentWithKey},
		"key known in a zone":       {policy.IdempotentWithKey, []policy.PriorAttempt{inZone}, decide.NotIdempotent},
		"one of two keys in a zone": {policy.IdempotentWithKey, []policy.PriorAttempt{everywhere, inZone}, decide.NotIdempotent},
		"idempotent":                {policy.Idempotent, []policy.PriorAttempt{inZone}, decide.Idempotent},
	} {
		if got := newRequestRecord(1, time.Minute, tt.idempotency, tt.attempts).UngroupedIdempotency; decide.Idempotency(got) != tt.want {
			t.Errorf("%s: idempotency = %d, want %d", name, got, tt.want)
		}
	}
}

// A request that was sent to an engine must fail unless it may be sent again.
func TestOrphanedRequest(t *testing.T) {
	const now = 10 * time.Second
	for name, tt := range map[string]struct {
		request *RequestRecord
		want    core.Orphan
	}{
		"not sent": {nil, core.Orphan{ReceivedAt: time.Second}},
		"not idempotent": {
			&RequestRecord{FirstSentAt: 2 * time.Second, Deadline: time.Minute},
			core.Orphan{ReceivedAt: time.Second, Attempts: unknownEngine(0), MustFail: true},
		},
		"idempotent": {
			&RequestRecord{UngroupedIdempotency: uint8(decide.Idempotent), FirstSentAt: 2 * time.Second, Deadline: time.Minute},
			core.Orphan{ReceivedAt: time.Second, Attempts: unknownEngine(0), Idempotency: policy.Idempotent},
		},
		"key window over": {
			newRequestRecord(0, time.Minute, policy.IdempotentWithKey, inZone(8*time.Second)),
			core.Orphan{ReceivedAt: time.Second, Attempts: inZone(8 * time.Second), Idempotency: policy.IdempotentWithKey, MustFail: true},
		},
		"key window, group known": {
			newRequestRecord(0, time.Minute, policy.IdempotentWithKey, inZone(9*time.Second)),
			core.Orphan{ReceivedAt: time.Second, Attempts: inZone(9 * time.Second), Idempotency: policy.IdempotentWithKey},
		},
		"key window, sender does not report the group": {
			&RequestRecord{UngroupedIdempotency: uint8(decide.IdempotentWithKey), FirstSentAt: 2 * time.Second, KeyWindow: 9 * time.Second, Deadline: time.Minute},
			core.Orphan{ReceivedAt: time.Second, Attempts: unknownEngine(9 * time.Second), Idempotency: policy.IdempotentWithKey, MustFail: true},
		},
		"key window, scope of a later version": {
			&RequestRecord{AttemptsKnown: true, Idempotency: 1, Attempts: []core.AttemptRecord{{SentAt: 2 * time.Second, Engine: "e", Zone: "a", Scope: 9, Window: 9 * time.Second}}, Deadline: time.Minute},
			core.Orphan{ReceivedAt: time.Second, Attempts: unknownEngine(9 * time.Second), Idempotency: policy.IdempotentWithKey, MustFail: true},
		},
		"the only attempt never ran": {
			newRequestRecord(0, time.Minute, policy.IdempotentWithKey, nil),
			core.Orphan{ReceivedAt: time.Second, Idempotency: policy.IdempotentWithKey},
		},
		"the deadline has passed": {
			newRequestRecord(0, now, policy.IdempotentWithKey, inZone(9*time.Second)),
			core.Orphan{ReceivedAt: time.Second, Attempts: inZone(9 * time.Second), Idempotency: policy.IdempotentWithKey, MustFail: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := &retainedConnection{receivedAt: time.Second, request: tt.request}
			if diff := cmp.Diff(tt.want, r.orphanedRequest(now)); diff != "" {
				t.Errorf("orphaned request (-want +got):\n%s", diff)
			}
		})
	}
}
