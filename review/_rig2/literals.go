package main

import (
	"fmt"
	"time"

	"gannetspur/internal/pgproto"
)

// playLiterals: a client with a setting of its own prepares a statement and goes; another client without that setting sends
// the same text later.
func playLiterals(r *rig) (broken []string) {
	work := func(string, string) time.Duration { return 5 * time.Millisecond }
	engines := []*engine{r.engine("e1", "hall-a", nil, work), r.engine("e2", "hall-b", nil, work)}
	catalogue := r.consul(engines...)
	r.write("settings.json", r.settings(nil))
	listen := r.freePort()
	postgres := r.write("postgres.toml", r.deployFile("postgres.toml", "listen =", `listen = "`+listen+`"`, "settings =", `settings = "settings.json"`,
		"address =", `address = "`+catalogue.addr+`"`))
	gateway := r.run("gateway", "serve", "--log-format", "json", "--postgres", postgres)
	r.await(gateway, "serving", 10*time.Second, nil)
	time.Sleep(500 * time.Millisecond) // the catalogue has been read

	// A border desk prepares a statement, binds it many times, and disconnects in the middle of a batch.
	texts := []string{
		"SELECT DATE '03/04/2026'",
		"UPDATE stock_17.orders SET closed = true WHERE day = DATE '03/04/2026' RETURNING day",
	}
	const want = "2026-03-04" // by the default DateStyle, ISO, MDY
	if r.trouble {
		border := r.client(listen)
		a := border.query("SET datestyle TO 'ISO, DMY'", 5*time.Second)
		r.logf("the border desk sets DateStyle to ISO, DMY: %v", a)
		if a.code != "" || a.err != nil {
			r.giveUp("SET: %v", a)
		}
		for i, text := range texts {
			name := fmt.Sprintf("day%d", i)
			batch := pgproto.AppendMessage(nil, pgproto.MessageParse, pgproto.CString(name), pgproto.CString(text), []byte{0, 0})
			batch = pgproto.AppendMessage(batch, pgproto.MessageSync)
			_, err := border.conn.Write(batch)
			r.must(err)
			r.must(border.read(5 * time.Second).err)
			for range 4 {
				batch = pgproto.AppendMessage(nil, pgproto.MessageBind, pgproto.CString(""), pgproto.CString(name), []byte{0, 0, 0, 0, 0, 0})
				batch = pgproto.AppendMessage(batch, pgproto.MessageExecute, []byte{0}, pgproto.Int32(0))
				batch = pgproto.AppendMessage(batch, pgproto.MessageSync)
				_, err = border.conn.Write(batch)
				r.must(err)
				a = border.read(5 * time.Second)
				r.logf("the border desk binds and executes %s: %v, %v", text, a.rows, a)
			}
		}
		batch := pgproto.AppendMessage(nil, pgproto.MessageBind, pgproto.CString(""), pgproto.CString("day0"), []byte{0, 0, 0, 0, 0, 0})
		_, _ = border.conn.Write(batch) // no Execute and no Sync: it goes in the middle of the batch
		border.close()
		r.logf("the border desk disconnects in the middle of a batch")
		time.Sleep(200 * time.Millisecond)
	}
	office := r.client(listen)
	for n := range 8 {
		text := texts[n/2%2]
		how, a := "Query", answer{}
		if n%2 == 0 {
			a = office.query(text, 5*time.Second)
		} else {
			how = "Parse, Bind, Execute"
			a = office.execute(text, 5*time.Second)
		}
		r.logf("the office (%s): %s gives %v, %v; by its settings it is %s", how, text, a.rows, a, want)
		if a.code != "" || a.err != nil || len(a.rows) != 1 {
			continue // refused or failed: no wrong data
		}
		if a.rows[0] != want {
			broken = append(broken, fmt.Sprintf("the office was told %s for %s (%s), by its settings it is %s", a.rows[0], text, how, want))
		}
	}
	return broken
}
