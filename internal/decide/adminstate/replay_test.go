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

// TestReplay applies seeded pseudorandom discovery entries and operators' calls to the tables of two
// processes that exchange their overrides now and then. It compares the digest of all results with the
// one recorded at version c18a9bd, so that a change of any result is noticed.
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

// replay writes the results of one seeded run. The digest covers the text written, so its wording must
// not change.
func replay(out io.Writer, seed uint64) {
	write := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) } // writing to a hash never fails
	rng := rand.New(rand.NewPCG(seed, 1))
	tables := []*Table{New(), New()}
	now := time.Duration(1)
	for range 2000 {
		now += time.Duration(rng.IntN(3)) * 40 * time.Second
		process := rng.IntN(2)
		table := tables[process]
		id := fmt.Sprintf("e%d", rng.IntN(12))
		switch rng.IntN(8) {
		case 0, 1, 2:
			e := policy.Engine{ID: id, Zone: "z", Kind: "k", Cell: 7, State: policy.EngineState(rng.IntN(3))}
			if rng.IntN(2) == 0 {
				e.StartKnown, e.Started = true, now-time.Duration(rng.IntN(100))*time.Second
			}
			e = table.Update(e)
			write("hear %s %s %s %d %d %d %t\n", e.ID, e.Zone, e.Kind, e.Cell, int(e.State), int64(e.Started), e.StartKnown)
		case 3, 4, 5:
			disable := rng.IntN(2) == 0
			changed, err := setDisabled(table, now, id, disable)
			write("call %s %t %t %t\n", id, disable, changed, err != nil)
		case 6:
			write("take %s\n", strings.Join(table.Merge(tables[1-process].Overrides()), " "))
		default:
			if rng.IntN(20) == 0 {
				table.Clear()
			}
		}
		write("state %d %t\n", table.ListedCount(), table.Disabled(id))
		overrides := table.Overrides()
		for _, name := range slices.Sorted(maps.Keys(overrides)) {
			write("ban %s %t %d %d\n", name, overrides[name].Disabled, int64(overrides[name].At), int64(overrides[name].DisabledSince))
		}
	}
}
