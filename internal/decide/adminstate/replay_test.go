package adminstate

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gannetspur/policy"
)

// TestReplay feeds seeded discovery entries and operators' calls to two processes that exchange
// their overrides now and then. Every result goes into a digest that version c18a9bd wrote.
func TestReplay(t *testing.T) {
	const digestFile = "testdata/replay.sha256"
	want, err := os.ReadFile(digestFile)
	if err != nil {
		t.Fatal(err)
	}
	digest := sha256.New()
	for seed := range uint64(50) {
		replay(digest, seed)
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != strings.TrimSpace(string(want)) {
		t.Errorf("digest of all results = %s, want %s", got, want)
	}
}

// replay writes the results of one seeded run. Its wording does not depend on identifiers.
func replay(out io.Writer, seed uint64) {
	say := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) } // a hash never fails
	random := rand.New(rand.NewPCG(seed, 1))
	processes := []*Table{New(), New()}
	now := time.Duration(1)
	for range 2000 {
		now += time.Duration(random.IntN(3)) * 40 * time.Second
		process := random.IntN(2)
		table := processes[process]
		id := fmt.Sprintf("e%d", random.IntN(12))
		switch random.IntN(8) {
		case 0, 1, 2:
			e := policy.Engine{ID: id, Zone: "z", Kind: "k", Cell: 7, State: policy.EngineState(random.IntN(3))}
			if random.IntN(2) == 0 {
				e.StartKnown, e.Started = true, now-time.Duration(random.IntN(100))*time.Second
			}
			e = table.Update(e)
			say("hear %s %s %s %d %d %d %t\n", e.ID, e.Zone, e.Kind, e.Cell, int(e.State), int64(e.Started), e.StartKnown)
		case 3, 4, 5:
			disable := random.IntN(2) == 0
			changed, err := setDisabled(table, now, id, disable)
			say("call %s %t %t %t\n", id, disable, changed, err != nil)
		case 6:
			say("take %s\n", strings.Join(table.Merge(processes[1-process].Overrides()), " "))
		default:
			if random.IntN(20) == 0 {
				table.Clear()
			}
		}
		say("state %d %t\n", table.ListedCount(), table.Disabled(id))
		overrides := table.Overrides()
		for _, name := range slices.Sorted(maps.Keys(overrides)) {
			say("ban %s %t %d %d\n", name, overrides[name].Disabled, int64(overrides[name].At), int64(overrides[name].DisabledSince))
		}
	}
}
