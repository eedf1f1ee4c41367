package lineproto

import (
	"testing"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"

	"github.com/google/go-cmp/cmp"
)

// TestCodec checks that rows and statements are the same after encoding and decoding, that invalid
// data from another gateway is rejected, and that results and statements of other types are rejected.
func TestCodec(t *testing.T) {
	var c Codec
	rows := Rows{[]byte("a\tb\tc\n"), []byte("d\te\tf\ng\th\ti\n"), {}}
	encoded, err := c.Result(rows)
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.ReadResult(encoded)
	if diff := cmp.Diff(core.Result(rows), got); err != nil || diff != "" {
		t.Errorf("ReadResult: error %v, rows (-want +got):\n%s", err, diff)
	}
	if encoded, err = c.Statement(Statement("SELECT 'ä'")); err != nil {
		t.Fatal(err)
	}
	if got, err := c.ReadStatement(encoded); err != nil || got != Statement("SELECT 'ä'") {
		t.Errorf("ReadStatement = %q, %v, want %q", got, err, "SELECT 'ä'")
	}
	for _, invalid := range []string{"", "SELECT \x00", "SELECT \xff", string(make([]byte, maxStatementBytes+1))} {
		if _, err := c.ReadStatement([]byte(invalid)); err == nil {
			t.Errorf("ReadStatement accepted %.20q", invalid)
		}
	}
	incompleteRow, _ := c.Result(Rows{[]byte("a\tb\n")})
	tooLarge, _ := c.Result(Rows{make([]byte, maxResultBytes+1)})
	for _, invalid := range [][]byte{nil, []byte("x"), incompleteRow, tooLarge, append(encoded, 1)} {
		if _, err := c.ReadResult(invalid); err == nil {
			t.Errorf("ReadResult accepted %.20q", invalid)
		}
	}
	if _, err := c.Result(&pgproto.Result{}); err == nil {
		t.Error("Result accepted a result of another protocol")
	}
	if _, err := c.Statement(&pgproto.Statement{}); err == nil {
		t.Error("Statement accepted a statement of another protocol")
	}
}
