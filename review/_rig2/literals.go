package main

import (
	"fmt"
	"time"
)

// playLiterals: two clients with settings of their own send the same text, and share an engine's connections.
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

	border, office := r.client(listen), r.client(listen)
	if r.trouble {
		a := border.query("SET datestyle TO 'ISO, DMY'", 5*time.Second)
		r.logf("the border desk sets DateStyle to ISO, DMY: %v", a)
		if a.code != "" || a.err != nil {
			r.giveUp("SET: %v", a)
		}
	} else {
		r.logf("the border desk keeps the default DateStyle")
	}
	const text = "SELECT DATE '03/04/2026'"
	want := map[string]string{"border": "2026-03-04", "office": "2026-03-04"}
	if r.trouble {
		want["border"] = "2026-04-03"
	}
	ask := func(who string, c *client, how string) {
		var a answer
		if how == "Query" {
			a = c.query(text, 5*time.Second)
		} else {
			a = c.execute(text, 5*time.Second)
		}
		r.logf("%s (%s): %s gives %v, %v; by its settings it is %s", who, how, text, a.rows, a, want[who])
		if a.code != "" || a.err != nil || len(a.rows) != 1 {
			return // refused or failed: no wrong data
		}
		if a.rows[0] != want[who] {
			broken = append(broken, fmt.Sprintf("%s was told %s for %s (%s), by its settings it is %s", who, a.rows[0], text, how, want[who]))
		}
	}
	for range 4 {
		ask("border", border, "Query")
		ask("office", office, "Query")
		ask("border", border, "Parse, Bind, Execute")
		ask("office", office, "Parse, Bind, Execute")
	}
	return broken
}
