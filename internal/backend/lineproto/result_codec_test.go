package lineproto

import (
	"testing"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"

	"github.com/google/go-cmp/cmp"
)

// What another gateway sends is checked as what clients and engines send is.
func TestCodec(t *testing.T) {
	var c Codec
	rows := Rows{[]byte("a\tb\tc\n"), []byte("d\te\tf\ng\th\ti\n"), {}}
	enc, err := c.Result(rows)
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.ReadResult(enc)
	if diff := cmp.Diff(core.Result(rows), got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if enc, err = c.Statement(Statement("SELECT 'ä'")); err != nil {
		t.Fatal(err)
	}
	if got, err := c.ReadStatement(enc); err != nil || got != Statement("SELECT 'ä'") {
		t.Error(got, err)
	}
	for _, bad := range []string{"", "SELECT \x00", "SELECT \xff", string(make([]byte, maxStatementBytes+1))} {
		if _, err := c.ReadStatement([]byte(bad)); err == nil {
			t.Errorf("%.20q was taken as a statement", bad)
		}
	}
	corrupt, _ := c.Result(Rows{[]byte("a\tb\n")})
	large, _ := c.Result(Rows{make([]byte, maxResultBytes+1)})
	for _, bad := range [][]byte{nil, []byte("x"), corrupt, large, append(enc, 1)} {
		if _, err := c.ReadResult(bad); err == nil {
			t.Errorf("%.20q was taken as rows", bad)
		}
	}
	if _, err := c.Result(&pgproto.Result{}); err == nil {
		t.Error("what are no rows was written")
	}
	if _, err := c.Statement(&pgproto.Statement{}); err == nil {
		t.Error("what is no statement was written")
	}
}
