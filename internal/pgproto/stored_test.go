package pgproto

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// storedStatement is the statement whose bytes version c18a9bd wrote to testdata/statement.cbor:
// a gateway of that version passes its statements to other sites so.
var storedStatement = Statement{
	Query: "SELECT $1", ParameterTypes: []byte{0, 1, 0, 0, 0, 23}, Bind: []byte{0, 0, 0, 1, 0, 0, 0, 1, '7', 0, 0}, DescribeOnly: true,
	BeginQuery: "BEGIN READ ONLY", EndsTransaction: true, Settings: []Setting{{Name: "application_name", Text: "SET application_name = 'billing'"}},
	ChangedSetting: "timezone", TaintsSession: true,
}

// storedResult is the result whose bytes version c18a9bd wrote to testdata/result.cbor.
var storedResult = Result{
	ParameterDescription: []byte{0, 1, 0, 0, 0, 23}, RowDescription: []byte{0, 0}, Rows: []byte("rows"), RowCount: 2, Tag: "SELECT 2", EmptyQuery: true, ParameterStatus: []byte("status"),
}

// Statements and results of version c18a9bd are read whole and written anew byte for byte.
func TestStoredForms(t *testing.T) {
	withUser := storedStatement
	withUser.User = "not stored"
	for _, c := range []struct {
		name   string
		file   string
		target any // what the file is read into
		want   any
		source any // what is written
	}{
		{"statement", "testdata/statement.cbor", new(Statement), &storedStatement, &storedStatement},
		{"statement of a user", "testdata/statement.cbor", new(Statement), &storedStatement, &withUser},
		{"result", "testdata/result.cbor", new(Result), &storedResult, &storedResult},
	} {
		t.Run(c.name, func(t *testing.T) {
			stored, err := os.ReadFile(c.file)
			if err != nil {
				t.Fatal(err)
			}
			if err := cbor.Unmarshal(stored, c.target); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(c.target, c.want) {
				t.Errorf("read %+v, want %+v", c.target, c.want)
			}
			if written, err := cbor.Marshal(c.source); err != nil || !bytes.Equal(written, stored) {
				t.Errorf("written as\n%x, error %v, want\n%x", written, err, stored)
			}
		})
	}
}

// Cut short, a stored form is refused; with any bit changed, it is refused or read as something
// else, and never a panic.
func TestDamagedForms(t *testing.T) {
	for _, c := range []struct {
		file string
		read func([]byte) error
	}{
		{"testdata/statement.cbor", func(b []byte) error { return cbor.Unmarshal(b, new(Statement)) }},
		{"testdata/result.cbor", func(b []byte) error { return cbor.Unmarshal(b, new(Result)) }},
	} {
		stored, err := os.ReadFile(c.file)
		if err != nil {
			t.Fatal(err)
		}
		for n := range stored {
			if c.read(stored[:n]) == nil {
				t.Errorf("%s: read, cut at byte %d of %d", c.file, n, len(stored))
			}
			for bit := range 8 {
				damaged := bytes.Clone(stored)
				damaged[n] ^= 1 << bit
				_ = c.read(damaged) // an error or other values
			}
		}
	}
}
