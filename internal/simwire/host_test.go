package simwire

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

func TestBatchesWithRestartAndReusedList(t *testing.T) {
	in, err := os.ReadFile("testdata/batch.in")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/batch.out")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := NewHost().Run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Fatalf("got\n%s\nwant\n%s", out.String(), want)
	}
}

func TestFaultsNameMessageFieldAndBatch(t *testing.T) {
	open := "[\"CLOCK\",1,9]\n"
	for in, want := range map[string]string{
		open + "nonsense":                     "batch 9: malformed line",
		open + `["REQ",4,1]`:                  "batch 9: REQ: who: no instance 4",
		open + `["TICK_DUE","x",1]`:           "batch 9: TICK_DUE: who",
		open + `["INIT",1]`:                   "batch 9: INIT: prng: missing",
		open + `["INIT",1,2,{"balancers":0}]`: "balancers: ",
		open + `["POOL",16,[]]`:               "batch 9: POOL: table",
		open + `["POOL",0,[["a","k","e"]]]`:   "entry 0: POOL: availability: missing",
		open + `["CLOCK",1,2]`:                "batch 9: CLOCK: batch still open",
		open:                                  "batch 9: input ended inside the batch",
		`["TICK_DUE",1,1]`:                    "no batch is open",
	} {
		var out bytes.Buffer
		err := NewHost().Run(strings.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: want one line with %q, got %v", in, want, err)
		}
		if out.Len() != 0 {
			t.Errorf("%q: wrote %q", in, out.String())
		}
	}
}

func TestEndBetweenBatchesIsNoError(t *testing.T) {
	var out bytes.Buffer
	err := NewHost().Run(strings.NewReader("[\"CLOCK\",1,3]\n[\"OVER_TO_YOU\"]\n"), &out)
	if err != nil || out.String() != "[\"NEXT\",3]\n" {
		t.Fatalf("got %q, %v", out.String(), err)
	}
}

func TestPanicBecomesBroken(t *testing.T) {
	h := NewHost()
	h.instances[3] = &instance{} // no gateway: the call panics
	var out bytes.Buffer
	err := h.Run(strings.NewReader("[\"CLOCK\",1,3]\n[\"TICK_DUE\",3,0]\n[\"OVER_TO_YOU\"]\n"), &out)
	if err != nil || !strings.HasPrefix(out.String(), `["BROKEN",3,"`) {
		t.Fatalf("got %q, %v", out.String(), err)
	}
}

func FuzzRun(f *testing.F) {
	seed, err := os.ReadFile("testdata/batch.in")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte("[\"CLOCK\",1,1]\n[\"INIT\",1,2,{}]\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out bytes.Buffer
		err := NewHost().Run(bytes.NewReader(in), &out)
		if bytes.Contains(out.Bytes(), []byte("BROKEN")) {
			t.Fatalf("the module panicked: %s", out.String())
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("fault of several lines: %v", err)
		}
	})
}

// A probe goes out where the settings permit it, and its answer, late, failed or
// from a stranger, ends nothing.
func TestProbeGoesOutAndItsAnswerComesBack(t *testing.T) {
	batch, err := os.ReadFile("testdata/batch.in")
	if err != nil {
		t.Fatal(err)
	}
	in := strings.NewReplacer(`"cancel": true`, `"cancel": true, "may-probe": true`,
		`"how": "silent", "names": []`, `"how": "pull", "names": ["active", "cpu"]`).Replace(string(batch))
	in += `["CLOCK",9000,900]
["PROBED",1,"e1:1",200,1.5,[12,0.7]]
["PROBED",1,"e1:1",408,250,null]
["PROBED",1,"nobody:1",200,1,[1e300,-4]]
["FROM_PEER",1,0,"any bytes"]
["OVER_TO_YOU"]
`
	var out bytes.Buffer
	if err := NewHost().Run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `["ASK_LOAD",1,"`) || !strings.HasSuffix(out.String(), "[\"NEXT\",900]\n") {
		t.Fatalf("no probe, or no answer to its batch:\n%s", out.String())
	}
	bad := strings.Replace(in, `[12,0.7]`, `[12]`, 1)
	if err := NewHost().Run(strings.NewReader(bad), &out); err == nil || !strings.Contains(err.Error(), "PROBED: usage") {
		t.Fatalf("want a fault that names PROBED and usage, got %v", err)
	}
}
