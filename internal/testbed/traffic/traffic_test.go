package traffic

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gannetspur/internal/testbed/workload"

	"github.com/google/go-cmp/cmp"
)

func generate(tb testing.TB, how Arrivals, number int) []byte {
	tb.Helper()
	var b bytes.Buffer
	if err := Generate(&b, workload.Defaults(7), number, 99, how, nil); err != nil {
		tb.Fatal(err)
	}
	return b.Bytes()
}

func read(b []byte) (all []Record, err error) {
	t, err := NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	defer t.Close()
	for {
		var r Record
		if err := t.Next(&r); err != nil {
			return all, err
		}
		all = append(all, r)
	}
}

// The same seed gives the same bytes, and what is read is what was written.
func TestRoundTrip(t *testing.T) {
	for _, how := range []Arrivals{Poisson, Bursts, Season} {
		one, two := generate(t, how, 3000), generate(t, how, 3000)
		if !bytes.Equal(one, two) {
			t.Errorf("%s: one seed, two files", how)
		}
		all, err := read(one)
		if !errors.Is(err, io.EOF) || len(all) != 3000 {
			t.Fatalf("%s: %d records, %v", how, len(all), err)
		}
		world := workload.New(workload.Defaults(7), 3000)
		last := int64(0)
		for i := range all {
			want := RecordOf(world.Next())
			want.At = all[i].At
			if diff := cmp.Diff(want, all[i]); diff != "" {
				t.Fatalf("%s: record %d:\n%s", how, i, diff)
			}
			if all[i].At < last {
				t.Fatalf("%s: record %d goes back in time", how, i)
			}
			last = all[i].At
		}
		if rate := 3000 / (float64(last) / 1e6); rate < 40 || rate > 250 {
			t.Errorf("%s: %.0f a second, 99 wanted", how, rate)
		}
	}
}

// A file that was cut off says so, after the records that are whole; a changed one is
// named damaged, and one of another kind or version too.
func TestDamagedFiles(t *testing.T) {
	good := generate(t, Poisson, 4000)
	for _, n := range []int{len(good) - 1, len(good) - 20, len(good) / 2, 40, 9} {
		all, err := read(good[:n])
		if !errors.Is(err, ErrTruncated) || len(all) >= 4000 && n < len(good)-16 {
			t.Errorf("cut at %d of %d: %d records, %v", n, len(good), len(all), err)
		}
	}
	for _, n := range []int{30, len(good) / 3, len(good) - 3} {
		bad := bytes.Clone(good)
		bad[n] ^= 1
		if _, err := read(bad); !errors.Is(err, ErrDamaged) {
			t.Errorf("byte %d changed: %v", n, err)
		}
	}
	bad := bytes.Clone(good)
	bad[len(magic)] = 9
	if _, err := read(bad); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
	if _, err := read([]byte("something else")); !errors.Is(err, ErrForeign) {
		t.Errorf("another kind: %v", err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(generate(f, Poisson, 20))
	f.Add([]byte("RWTRAFF\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := read(b); err == nil {
			t.Fatal("it never ended")
		}
	})
}
