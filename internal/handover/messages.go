package handover

import (
	"fmt"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"

	"github.com/fxamacker/cbor/v2"
)

// Version is what this program speaks. The minor one rises with every change that the one
// before can pass by; the major one with every other.
var Version = decide.Version{Major: 1, Minor: 0}

// Message is one message of the channel.
type Message interface{ kind() byte }

// Messages of the new process.
type (
	// Hello says what it is. Problem is why it can't take over; "": it can.
	Hello struct {
		Major   int    `cbor:"1,keyasint"`
		Minor   int    `cbor:"2,keyasint"`
		Problem string `cbor:"3,keyasint,omitempty"`
		Build   string `cbor:"4,keyasint,omitempty"` // as ringwood version tells it
	}
	// Ready says that it has taken what is known.
	Ready struct{}
	// Alive says that it lives, and how its answers were since the last.
	Alive struct {
		Good int `cbor:"1,keyasint"`
		Bad  int `cbor:"2,keyasint"`
		Open int `cbor:"3,keyasint"` // requests that it has taken and not answered
	}
	// Input are bytes that lie in a connection's socket from At on, and are consumed next.
	Input struct {
		Conn uint32        `cbor:"1,keyasint"`
		At   int64         `cbor:"2,keyasint"`
		Came time.Duration `cbor:"3,keyasint"`
		B    []byte        `cbor:"4,keyasint"`
	}
	// Sending says that the request which is open on a connection goes to an engine next.
	Sending struct {
		Conn     uint32        `cbor:"1,keyasint"`
		Effect   uint8         `cbor:"2,keyasint"`
		At       time.Duration `cbor:"3,keyasint"` // of the first send
		Window   time.Duration `cbor:"4,keyasint"`
		Deadline time.Duration `cbor:"5,keyasint"`
	}
	// Output are bytes that are written to a connection next, from At on. Where Settled, no
	// request is open behind them: State stands for all that was read before Consumed.
	Output struct {
		Conn     uint32 `cbor:"1,keyasint"`
		At       int64  `cbor:"2,keyasint"`
		B        []byte `cbor:"3,keyasint"`
		Settled  bool   `cbor:"4,keyasint,omitempty"`
		Ending   bool   `cbor:"5,keyasint,omitempty"` // the connection ends behind them
		Consumed int64  `cbor:"6,keyasint,omitempty"`
		State    []byte `cbor:"7,keyasint,omitempty"`
	}
	// Closed says that a connection has ended.
	Closed struct {
		Conn uint32 `cbor:"1,keyasint"`
	}
)

// Messages of the old process.
type (
	// World is what it knows, by the names of its sections. One that the other does not know
	// is named in its log and passed by.
	World struct {
		Sections map[string]cbor.RawMessage `cbor:"1,keyasint"`
	}
	// Go tells it to serve.
	Go struct{}
	// Given comes with the descriptor of a connection: its front's state, and what was read
	// of it and not consumed.
	Given struct {
		Conn   uint32 `cbor:"1,keyasint"`
		Front  string `cbor:"2,keyasint"`
		State  []byte `cbor:"3,keyasint"`
		Unread []byte `cbor:"4,keyasint,omitempty"`
	}
	// Commit tells it that it is the owner for good.
	Commit struct{}
	// Reload tells it to read its files again, as the old one was told meanwhile.
	Reload struct{}
	// Counts are the counters of what ended in the old process since World.
	Counts struct {
		Counters map[string]int64 `cbor:"1,keyasint"`
	}
)

// Messages of both.
type (
	// Shared is what all connections of a front share, as the front tells it.
	Shared struct {
		B []byte `cbor:"1,keyasint"`
	}
	// Stray is a call that only the other may have the answer to.
	Stray struct {
		B []byte `cbor:"1,keyasint"`
	}
)

func (*Hello) kind() byte   { return 1 }
func (*Ready) kind() byte   { return 2 }
func (*Alive) kind() byte   { return 3 }
func (*Input) kind() byte   { return 4 }
func (*Sending) kind() byte { return 5 }
func (*Output) kind() byte  { return 6 }
func (*Closed) kind() byte  { return 7 }
func (*World) kind() byte   { return 8 }
func (*Go) kind() byte      { return 9 }
func (*Given) kind() byte   { return 10 }
func (*Commit) kind() byte  { return 11 }
func (*Reload) kind() byte  { return 12 }
func (*Counts) kind() byte  { return 13 }
func (*Shared) kind() byte  { return 14 }
func (*Stray) kind() byte   { return 15 }

// blank is an empty message of a kind; nil: there is none.
func blank(kind byte) Message {
	for _, m := range []Message{
		&Hello{}, &Ready{}, &Alive{}, &Input{}, &Sending{}, &Output{}, &Closed{}, &World{}, &Go{}, &Given{}, &Commit{},
		&Reload{}, &Counts{}, &Shared{}, &Stray{},
	} {
		if m.kind() == kind {
			return m
		}
	}
	return nil
}

// Clock is the time of both processes at one moment: Mono is the machine's monotonic clock.
type Clock struct {
	Now  time.Duration `cbor:"1,keyasint"`
	Mono time.Duration `cbor:"2,keyasint"`
}

// Knowledge is what a process that serves knows.
type Knowledge struct {
	Clock    Clock
	Core     core.Snapshot
	Event    uint64 // number of the event bus's last event taken; 0: none
	Shared   []byte // of the front
	Shapes   []byte // a snapshot; nil: none
	Members  []byte // of internal/membership: the fleet as this member knows it; nil: it is none
	Counters map[string]int64
}

// sections are the parts of a World by name.
func (k *Knowledge) sections() map[string]any {
	return map[string]any{
		"clock": &k.Clock, "core": &k.Core, "event": &k.Event, "shared": &k.Shared, "shapes": &k.Shapes, "members": &k.Members, "counters": &k.Counters,
	}
}

func (k *Knowledge) encode() (*World, error) {
	w := &World{Sections: map[string]cbor.RawMessage{}}
	for name, part := range k.sections() {
		b, err := cbor.Marshal(part)
		if err != nil {
			return nil, fmt.Errorf("handover: %s: %w", name, err)
		}
		w.Sections[name] = b
	}
	return w, nil
}

// decode reads a World. unknown names the sections that this version has no use for.
func (w *World) decode() (k *Knowledge, unknown []string, err error) {
	k = &Knowledge{}
	parts := k.sections()
	for name, b := range w.Sections {
		part, ok := parts[name]
		if !ok {
			unknown = append(unknown, name)
			continue
		}
		if err := decoder.Unmarshal(b, part); err != nil {
			return nil, nil, fmt.Errorf("handover: %s: %w", name, err)
		}
	}
	return k, unknown, nil
}

// Encode writes what is known for another process of the same or another version.
func (k *Knowledge) Encode() ([]byte, error) {
	w, err := k.encode()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(w)
}

// DecodeKnowledge reads what Encode wrote. unknown names the parts that this version has no use
// for.
func DecodeKnowledge(b []byte) (k *Knowledge, unknown []string, err error) {
	var w World
	if err := decoder.Unmarshal(b, &w); err != nil {
		return nil, nil, fmt.Errorf("handover: what is known: %w", err)
	}
	return w.decode()
}
