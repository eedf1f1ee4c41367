package postgres

import (
	"bytes"
	"os"
	"testing"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"

	"github.com/google/go-cmp/cmp"
)

// storedBytes returns the contents of a file in testdata.
func storedBytes(t *testing.T, file string) []byte {
	t.Helper()
	stored, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// TestStoredStatements checks that statements that version c18a9bd encoded for another gateway are decoded
// correctly and encoded to the same bytes. Otherwise gateways of different versions could not forward statements.
func TestStoredStatements(t *testing.T) {
	values := append(append(pgproto.Int32(3), "abc"...), pgproto.Int32(-1)...)
	bind := append(append([]byte{0, 0, 0, 2}, values...), 0, 0)
	for file, want := range map[string]*pgproto.Statement{
		"statement.cbor": {
			Query: "SET work_mem = $1, $2", ParameterTypes: []byte{0, 1, 0, 0, 0, 23}, Bind: bind,
			Settings:       []pgproto.Setting{{Name: "search_path", Text: "SET search_path = a"}},
			ChangedSetting: "work_mem", TaintsSession: true,
		},
		"describe.cbor": {Query: "SELECT 1", ParameterTypes: []byte{0, 0}, DescribeOnly: true},
	} {
		t.Run(file, func(t *testing.T) {
			stored := storedBytes(t, file)
			var c Codec
			got, err := c.ReadStatement(stored)
			if diff := cmp.Diff(core.Statement(want), got); err != nil || diff != "" {
				t.Fatalf("ReadStatement: error %v, diff (-want +got):\n%s", err, diff)
			}
			encoded, err := c.Statement(got)
			if err != nil || !bytes.Equal(encoded, stored) {
				t.Errorf("encoding the decoded value = %x, error %v, want %x", encoded, err, stored)
			}
			checkDamaged(t, stored, func(b []byte) error {
				_, err := c.ReadStatement(b)
				return err
			})
		})
	}
}

// TestStoredResult checks that a result that version c18a9bd encoded for another gateway is decoded correctly and
// encoded to the same bytes. Otherwise gateways of different versions could not forward results.
func TestStoredResult(t *testing.T) {
	stored := storedBytes(t, "result.cbor")
	row := pgproto.AppendMessage(nil, 'D', []byte{0, 1, 0, 0, 0, 2, 'x', 'y'})
	want := &pgproto.Result{
		ParameterDescription: []byte{0, 1, 0, 0, 0, 23},
		RowDescription:       []byte{0, 1, 'a', 0},
		Rows:                 append(row, row...),
		RowCount:             2,
		Tag:                  "SELECT 2",
		EmptyQuery:           true,
		ParameterStatus:      []byte{'S', 0, 0, 0, 8, 'a', 0, 'b', 0},
	}
	var c Codec
	got, err := c.ReadResult(stored)
	if diff := cmp.Diff(core.Result(want), got); err != nil || diff != "" {
		t.Fatalf("ReadResult: error %v, diff (-want +got):\n%s", err, diff)
	}
	encoded, err := c.Result(got)
	if err != nil || !bytes.Equal(encoded, stored) {
		t.Errorf("encoding the decoded value = %x, error %v, want %x", encoded, err, stored)
	}
	checkDamaged(t, stored, func(b []byte) error {
		result, err := c.ReadResult(b)
		if err != nil {
			return err
		}
		r := result.(*pgproto.Result)
		rows, err := countRows(r.Rows)
		if err != nil || rows != r.RowCount {
			t.Errorf("ReadResult accepted %x: got %d rows, error %v, want %d rows as in RowCount", b, rows, err, r.RowCount)
		}
		return nil
	})
}

// checkDamaged decodes truncated data, which must fail, and data with one flipped bit, which must not panic.
func checkDamaged(t *testing.T, stored []byte, read func([]byte) error) {
	t.Helper()
	for end := range stored {
		if err := read(stored[:end]); err == nil {
			t.Errorf("the first %d of %d bytes were accepted, want an error", end, len(stored))
		}
	}
	for i := range 8 * len(stored) {
		corrupt := bytes.Clone(stored)
		corrupt[i/8] ^= 1 << (i % 8)
		_ = read(corrupt) // may succeed: a text with another letter is valid
	}
}
