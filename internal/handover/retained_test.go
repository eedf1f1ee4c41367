package handover

import (
	"testing"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/netio"
)

// What is retained of a connection: the state stands for what was read before its place, and
// what was read behind it and not written comes back.
func TestRetainedConnection(t *testing.T) {
	r := &retainedConnection{fd: -1, state: []byte("0"), input: []byte("abc"), inputOffset: 97}
	r.recordInput(&InputRecord{Offset: 100, Data: []byte("defgh"), ReceivedAt: time.Second})
	r.request = &RequestRecord{FirstSend: 2 * time.Second}
	r.recordOutput(&OutputRecord{Offset: 50, Data: []byte("part"), Idle: false})
	if string(r.input) != "abcdefgh" || r.request == nil || string(r.state) != "0" {
		t.Errorf("while a request is open: %+v", r)
	}
	r.recordOutput(&OutputRecord{Offset: 54, Data: []byte("answer"), Idle: true, Consumed: 102, State: []byte("1")})
	if string(r.input) != "fgh" || r.inputOffset != 102 || r.request != nil || string(r.state) != "1" || string(r.output) != "partanswer" || r.outputOffset != 50 {
		t.Errorf("behind its answer: %+v", r)
	}
	r.recordOutput(&OutputRecord{Offset: 60, Data: []byte("bye"), Idle: true, Closing: true})
	if !r.closing || len(r.input) > 0 || string(r.state) != "1" {
		t.Errorf("at its end: %+v", r)
	}
}

// After the target's death the kernel tells how much of the stream any process has read and
// written: what was read without an answer is handled anew, what was not written is written.
func TestRetainedAfterDeath(t *testing.T) {
	const inputOffset, outputOffset = 100, 50
	for name, tt := range map[string]struct {
		position                   netio.StreamPosition
		closing                    bool
		wantUnanswered, wantOutput string
	}{
		"all read, nothing written":        {netio.StreamPosition{Read: 105, Written: 50}, false, "input", "answer"},
		"part read, part written":          {netio.StreamPosition{Read: 102, Written: 53}, false, "in", "wer"},
		"nothing read, all written":        {netio.StreamPosition{Read: 100, Written: 56}, false, "", ""},
		"before the records":               {netio.StreamPosition{Read: 90, Written: 40}, false, "", "answer"},
		"more than recorded":               {netio.StreamPosition{Read: 200, Written: 200}, false, "input", ""},
		"ends behind what it has to write": {netio.StreamPosition{Read: 105, Written: 53}, true, "", "wer"},
	} {
		t.Run(name, func(t *testing.T) {
			r := &retainedConnection{
				input: []byte("input"), inputOffset: inputOffset, output: []byte("answer"), outputOffset: outputOffset, closing: tt.closing,
			}
			if got := string(r.unanswered(tt.position)); got != tt.wantUnanswered {
				t.Errorf("unanswered input = %q, want %q", got, tt.wantUnanswered)
			}
			if got := string(r.unwritten(tt.position)); got != tt.wantOutput {
				t.Errorf("unwritten output = %q, want %q", got, tt.wantOutput)
			}
		})
	}
}

// A request that was at an engine fails at once unless it may be sent again.
func TestOrphanedRequest(t *testing.T) {
	const now = 10 * time.Second
	for name, tt := range map[string]struct {
		request *RequestRecord
		want    core.Orphan
	}{
		"not sent":       {nil, core.Orphan{ReceivedAt: time.Second}},
		"not idempotent": {&RequestRecord{FirstSend: 2 * time.Second, Deadline: time.Minute}, core.Orphan{ReceivedAt: time.Second, FirstSentAt: 2 * time.Second, MustFail: true}},
		"idempotent": {
			&RequestRecord{Idempotency: uint8(decide.Idempotent), FirstSend: 2 * time.Second, Deadline: time.Minute},
			core.Orphan{ReceivedAt: time.Second, FirstSentAt: 2 * time.Second},
		},
		"key window over": {
			&RequestRecord{Idempotency: uint8(decide.IdempotentWithKey), FirstSend: 2 * time.Second, KeyWindow: 8 * time.Second, Deadline: time.Minute},
			core.Orphan{ReceivedAt: time.Second, FirstSentAt: 2 * time.Second, MustFail: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := &retainedConnection{receivedAt: time.Second, request: tt.request}
			if got := r.orphanedRequest(now); got != tt.want {
				t.Errorf("orphaned request = %+v, want %+v", got, tt.want)
			}
		})
	}
}
