package load

import (
	"testing"
	"time"

	"gannetspur/internal/testbed/emulator"

	"github.com/google/go-cmp/cmp"
)

// TestCheck verifies that Check reports each violated rule, and reports nothing where no rule is
// violated.
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
		"served":                                   {rec("q-1-1", Served), []emulator.Run{run("q-1-1", 0, false)}, nil},
		"lookup ran twice":                         {rec("q-1-1", Served), []emulator.Run{run("q-1-1", 0, false), run("q-1-1", 1, false)}, nil},
		"write refused and never ran":              {rec("w-1-1", Refused), nil, nil},
		"ambiguous write ran once":                 {rec("w-1-1", Ambiguous), []emulator.Run{run("w-1-1", 0, false)}, nil},
		"write ran twice":                          {rec("w-1-1", Served), []emulator.Run{run("w-1-1", 0, false), run("w-1-1", 1, false)}, []string{"effect twice"}},
		"load repeated and dropped as a duplicate": {rec("k-1-1", Served), []emulator.Run{run("k-1-1", 0, false), run("k-1-1", 5, true)}, nil},
		"load repeated after the key window":       {rec("k-1-1", Served), []emulator.Run{run("k-1-1", 0, false), run("k-1-1", 13, false)}, []string{"effect twice", "key window"}},
		"no answer":                                {rec("q-1-1", Silent), nil, []string{"no answer"}},
		"connection ended":                         {rec("q-1-1", Reset), nil, []string{"no answer"}},
		"answer to another request":                {rec("q-1-1", Corrupt), nil, []string{"spoilt"}},
		"no connection":                            {rec("q-1-1", Unreachable), nil, []string{"not reached"}},
		"served but never ran":                     {rec("q-1-1", Served), nil, []string{"served what never ran"}},
		"served but only another request ran":      {rec("q-1-1", Served), []emulator.Run{run("q-1-2", 0, false)}, []string{"served what never ran"}},
	} {
		var got []string
		for _, f := range Check([]Record{tt.rec}, tt.runs, 12*time.Second) {
			got = append(got, f.Rule)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: violated rules (-want +got):\n%s", name, diff)
		}
	}
}

// TestCheckDrains verifies that CheckDrains reports requests that reach a draining engine after the
// limit, and none that arrive before the drain, within the limit or after the engine is ready again.
func TestCheckDrains(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	history := []emulator.Change{{At: at(10), ID: "a", State: emulator.Draining}, {At: at(20), ID: "a", State: emulator.Ready}}
	var runs []emulator.Run
	for _, s := range []float64{1, 10.5, 12.1, 13, 19, 21} {
		runs = append(runs, emulator.Run{Engine: "a", Mark: "q-1-1", At: at(s)}, emulator.Run{Engine: "b", At: at(s)})
	}
	if got := CheckDrains(runs, history); len(got) != 2 {
		t.Errorf("CheckDrains reported %v, want the two requests at 13 s and 19 s", got)
	}
}
