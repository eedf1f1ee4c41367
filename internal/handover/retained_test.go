package handover

import (
	"testing"
	"time"
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
