package load

import (
	"testing"
	"time"

	"gannetspur/internal/testbed/emulator"

	"github.com/google/go-cmp/cmp"
)

// The checker finds each rule broken, and nothing where none is.
func TestCheck(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	run := func(mark string, s float64, dropped bool) emulator.Run {
		key := ""
		if mark[0] == 'k' {
			key = mark
		}
		return emulator.Run{Mark: mark, Key: key, At: at(s), Dropped: dropped}
	}
	rec := func(mark string, v Verdict) Record { return Record{Mark: mark, Kind: Kind(mark[0]), Verdict: v} }
	for name, tt := range map[string]struct {
		rec  Record
		runs []emulator.Run
		want []string
	}{
		"served":                    {rec("q-1-1", Served), []emulator.Run{run("q-1-1", 0, false)}, nil},
		"a lookup twice":            {rec("q-1-1", Served), []emulator.Run{run("q-1-1", 0, false), run("q-1-1", 1, false)}, nil},
		"refused, never ran":        {rec("w-1-1", Refused), nil, nil},
		"in doubt, ran":             {rec("w-1-1", Ambiguous), []emulator.Run{run("w-1-1", 0, false)}, nil},
		"a write twice":             {rec("w-1-1", Served), []emulator.Run{run("w-1-1", 0, false), run("w-1-1", 1, false)}, []string{"effect twice"}},
		"a key twice, dropped":      {rec("k-1-1", Served), []emulator.Run{run("k-1-1", 0, false), run("k-1-1", 5, true)}, nil},
		"a key past its window":     {rec("k-1-1", Served), []emulator.Run{run("k-1-1", 0, false), run("k-1-1", 13, false)}, []string{"effect twice", "key window"}},
		"no answer":                 {rec("q-1-1", Silent), nil, []string{"no answer"}},
		"the connection ended":      {rec("q-1-1", Reset), nil, []string{"no answer"}},
		"another's rows":            {rec("q-1-1", Corrupt), nil, []string{"spoilt"}},
		"nobody listens":            {rec("q-1-1", Unreachable), nil, []string{"not reached"}},
		"served and never ran":      {rec("q-1-1", Served), nil, []string{"served what never ran"}},
		"another one's run is none": {rec("q-1-1", Served), []emulator.Run{run("q-1-2", 0, false)}, []string{"served what never ran"}},
	} {
		var got []string
		for _, f := range Check([]Record{tt.rec}, tt.runs, 12*time.Second) {
			got = append(got, f.Rule)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// Work that reaches an engine past its drain is found; in the 2 s, before and after its
// return there is none.
func TestCheckDrains(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	history := []emulator.Change{{At: at(10), ID: "a", State: emulator.Draining}, {At: at(20), ID: "a", State: emulator.Ready}}
	var runs []emulator.Run
	for _, s := range []float64{1, 10.5, 12.1, 13, 19, 21} {
		runs = append(runs, emulator.Run{Engine: "a", Mark: "q-1-1", At: at(s)}, emulator.Run{Engine: "b", At: at(s)})
	}
	if got := CheckDrains(runs, history); len(got) != 2 {
		t.Errorf("found %v, want the two at 13 s and 19 s", got)
	}
}
