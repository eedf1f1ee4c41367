package simwire

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// Batches get the replies stored in testdata, also after a gateway was restarted and the number of an
// engine list was reused for another list.
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
		t.Fatalf("Run: got output\n%s\nwant\n%s", out.String(), want)
	}
}

// An invalid input ends Run without a reply. The error is a single line that names the batch and, as far
// as they are known, the message and the field.
func TestErrorNamesBatchMessageAndField(t *testing.T) {
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
			t.Errorf("Run(%q): got error %v, want one line that contains %q", in, err, want)
		}
		if out.Len() != 0 {
			t.Errorf("Run(%q): got output %q, want none", in, out.String())
		}
	}
}

func TestEndOfInputBetweenBatches(t *testing.T) {
	var out bytes.Buffer
	err := NewHost().Run(strings.NewReader("[\"CLOCK\",1,3]\n[\"OVER_TO_YOU\"]\n"), &out)
	if want := "[\"NEXT\",3]\n"; err != nil || out.String() != want {
		t.Fatalf("Run: got output %q and error %v, want %q and nil", out.String(), err, want)
	}
}

// A panic of the policy is reported as a BROKEN message, and Run goes on.
func TestPolicyPanicReported(t *testing.T) {
	h := NewHost()
	h.instances[3] = &instance{} // without a gateway, so that handling the event panics
	var out bytes.Buffer
	err := h.Run(strings.NewReader("[\"CLOCK\",1,3]\n[\"TICK_DUE\",3,0]\n[\"OVER_TO_YOU\"]\n"), &out)
	if err != nil || !strings.HasPrefix(out.String(), `["BROKEN",3,"`) {
		t.Fatalf("Run: got output %q and error %v, want a BROKEN message of instance 3 and nil", out.String(), err)
	}
}

// No input makes the policy panic, and the error of an invalid input is a single line.
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
			t.Fatalf("got a panic of the policy, want none: %s", out.String())
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("got an error of several lines, want one line: %v", err)
		}
	})
}

// The policy requests load reports if the settings permit it. Reports that are late, failed or from an
// unknown engine are accepted; one with the wrong number of values is an error.
func TestLoadReportRequestAndAnswer(t *testing.T) {
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
		t.Fatalf("want an ASK_LOAD message and a NEXT message for batch 900 at the end, got:\n%s", out.String())
	}
	tooFewValues := strings.Replace(in, `[12,0.7]`, `[12]`, 1)
	if err := NewHost().Run(strings.NewReader(tooFewValues), &out); err == nil || !strings.Contains(err.Error(), "PROBED: usage") {
		t.Fatalf("Run with too few load values: got error %v, want one that names PROBED and usage", err)
	}
}
