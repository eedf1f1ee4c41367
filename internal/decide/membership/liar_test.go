package membership

import (
	"testing"
	"time"
)

// few are members that hear each other at once. spoil may change what one of them says, or says for another.
type few struct {
	all   []*Node
	now   time.Duration
	heard []MemberReport
}

func (f *few) run(until time.Duration, spoil func(from *Node, s Send) []DatagramReceived) {
	type on struct {
		to ID
		h  DatagramReceived
	}
	var way []on
	for ; f.now < until; f.now += 50 * time.Millisecond {
		for _, m := range f.all {
			out := m.Handle(f.now, Tick{})
			for i := 0; i < len(way); i++ {
				if way[i].to == m.self.id {
					out = append(out, m.Handle(f.now, way[i].h)...)
					way = append(way[:i], way[i+1:]...)
					i--
				}
			}
			for _, a := range out {
				switch a := a.(type) {
				case MemberReport:
					if a.Member != m.self.id {
						f.heard = append(f.heard, a)
					}
				case Send:
					says := []DatagramReceived{{m.self.id, a.Payload}}
					if spoil != nil {
						says = spoil(m, a)
					}
					for _, h := range says {
						way = append(way, on{a.To, h})
					}
				}
			}
		}
	}
}

func (f *few) whole(t *testing.T) {
	t.Helper()
	for _, m := range f.all {
		if m.views.current.Size != len(f.all) || m.views.current.Digest != f.all[0].views.current.Digest {
			t.Errorf("%d has the view %v", m.self.id, m.views.current)
		}
	}
}

func fewOf(n int) *few {
	f := &few{now: time.Hour}
	for id := ID(1); int(id) <= n; id++ {
		f.all = append(f.all, newMachine(id, uint64(id)))
	}
	f.run(time.Hour+10*time.Second, nil)
	f.heard = nil
	return f
}

// One that accuses all others moves nobody, and is not heard of any more once it stops.
func TestOneAccusesAll(t *testing.T) {
	f := fewOf(5)
	f.whole(t)
	f.run(f.now+30*time.Second, func(m *Node, s Send) []DatagramReceived {
		if m.self.id != 2 {
			return []DatagramReceived{{m.self.id, s.Payload}}
		}
		r := record{Author: 2, Incarnation: m.self.record.Incarnation, Sequence: uint16(f.now / time.Millisecond)}
		for _, o := range f.all {
			if o != m {
				r.Statements = append(r.Statements, statement{o.self.id, uint8(o.self.record.Incarnation), notHeard})
			}
		}
		return []DatagramReceived{{2, appendChecksum(message{Kind: kindRecords, From: 2, Incarnation: r.Incarnation, Records: []record{r}}.appendTo(nil))}, {2, s.Payload}}
	})
	for _, h := range f.heard {
		if !h.State.InView() {
			t.Errorf("%+v", h)
		}
	}
	f.run(f.now+20*time.Second, nil)
	f.whole(t)
}

// One that says that it is everybody is not heard; one that has others' records say that they have left is answered by
// these others, and in the end all are there.
func TestOneSaysItIsEverybody(t *testing.T) {
	f := fewOf(5)
	f.run(f.now+10*time.Second, func(m *Node, s Send) (says []DatagramReceived) {
		says = []DatagramReceived{{m.self.id, s.Payload}}
		if m.self.id == 2 {
			for _, o := range f.all {
				r := o.self.record
				r.Sequence, r.Departed = r.Sequence+1, true
				says = append(says, DatagramReceived{2, appendChecksum(message{Kind: kindHeartbeat, From: o.self.id, Incarnation: 1 << 30}.appendTo(nil))},
					DatagramReceived{2, appendChecksum(message{Kind: kindRecords, From: 2, Incarnation: m.self.record.Incarnation, Records: []record{r}}.appendTo(nil))})
			}
		}
		return says
	})
	for _, m := range f.all {
		if m.self.id != 2 && m.DroppedDatagrams == 0 {
			t.Errorf("%d believed one that said it was another", m.self.id)
		}
	}
	f.run(f.now+20*time.Second, nil)
	f.whole(t)
}

// A member that hears nobody accuses nobody, and says that it can't know.
func TestAloneCannotKnow(t *testing.T) {
	f := fewOf(2)
	f.all = f.all[:1]
	f.run(f.now+20*time.Second, nil)
	why, doubts := f.all[0].SelfSuspicion()
	if s, _, _ := f.all[0].State(2); !s.InView() || !doubts {
		t.Errorf("the other is %s, doubt %q", s, why)
	}
}
