package traffic

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gannetspur/internal/testbed/workload"

	"github.com/google/go-cmp/cmp"
)

// generate returns a traffic file of number statements at 99 per second, from seed 7.
func generate(tb testing.TB, kind Arrivals, number int) []byte {
	tb.Helper()
	var b bytes.Buffer
	if err := Generate(&b, workload.Defaults(7), number, 99, kind, nil); err != nil {
		tb.Fatal(err)
	}
	return b.Bytes()
}

// read returns the complete records of a file, and the error that ended reading: io.EOF for an undamaged
// file.
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

// TestRoundTrip verifies that the same seed generates the same bytes, that the records read are those
// generated, and that arrivals have about the requested rate and do not go back in time.
func TestRoundTrip(t *testing.T) {
	for _, kind := range []Arrivals{Poisson, Bursts, Season} {
		one, two := generate(t, kind, 3000), generate(t, kind, 3000)
		if !bytes.Equal(one, two) {
			t.Errorf("%s: two files of the same seed differ, want equal bytes", kind)
		}
		all, err := read(one)
		if !errors.Is(err, io.EOF) || len(all) != 3000 {
			t.Fatalf("%s: read %d records and error %v, want 3000 and EOF", kind, len(all), err)
		}
		generator := workload.New(workload.Defaults(7), 3000)
		last := int64(0)
		for i := range all {
			want := RecordOf(generator.Next())
			want.At = all[i].At
			if diff := cmp.Diff(want, all[i]); diff != "" {
				t.Fatalf("%s: record %d (-want +got):\n%s", kind, i, diff)
			}
			if all[i].At < last {
				t.Fatalf("%s: record %d arrives at %d µs, want at least %d", kind, i, all[i].At, last)
			}
			last = all[i].At
		}
		if rate := 3000 / (float64(last) / 1e6); rate < 40 || rate > 250 {
			t.Errorf("%s: rate is %.0f statements per second, want 40 to 250 for a requested 99", kind, rate)
		}
	}
}

// TestDamagedFiles verifies that a truncated file is reported as truncated after its complete records,
// and that changed bytes, an unknown version and a foreign file give their errors.
func TestDamagedFiles(t *testing.T) {
	good := generate(t, Poisson, 4000)
	for _, n := range []int{len(good) - 1, len(good) - 20, len(good) / 2, 40, 9} {
		all, err := read(good[:n])
		if !errors.Is(err, ErrTruncated) || len(all) >= 4000 && n < len(good)-16 {
			t.Errorf("truncated at byte %d of %d: read %d records and error %v, want ErrTruncated", n, len(good), len(all), err)
		}
	}
	for _, n := range []int{30, len(good) / 3, len(good) - 3} {
		bad := bytes.Clone(good)
		bad[n] ^= 1
		if _, err := read(bad); !errors.Is(err, ErrDamaged) {
			t.Errorf("byte %d changed: error %v, want ErrDamaged", n, err)
		}
	}
	bad := bytes.Clone(good)
	bad[len(magic)] = 9
	if _, err := read(bad); !errors.Is(err, ErrVersion) {
		t.Errorf("version 9: error %v, want ErrVersion", err)
	}
	if _, err := read([]byte("something else")); !errors.Is(err, ErrForeign) {
		t.Errorf("foreign file: error %v, want ErrForeign", err)
	}
}

// FuzzReader verifies that reading arbitrary bytes ends with an error and does not panic.
func FuzzReader(f *testing.F) {
	f.Add(generate(f, Poisson, 20))
	f.Add([]byte("RWTRAFF\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := read(b); err == nil {
			t.Fatal("reading stopped without an error, want io.EOF or a read error")
		}
	})
}
