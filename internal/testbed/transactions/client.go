package transactions

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// SQLSTATE codes that decide the outcome of a transaction.
const (
	codeInDoubt = "40003" // the statement may have run
)

const (
	// maxPause is the longest pause of a client between two steps.
	maxPause = 5 * time.Millisecond
	// maxCancelDelay is the longest time between a statement and its cancellation.
	maxCancelDelay = 4 * time.Millisecond
	// Of this many steps or statements, one is of a rare kind.
	rare = 12
)

// settingNames are the settings that clients change.
var settingNames = []string{"search_path", "work_mem", "my.tag"}

// Client is a client with transactions and settings of its own. Its steps are drawn from a seed; what the gateway
// makes of them also depends on timing.
type Client struct {
	addr     string
	number   int // distinguishes its writes from those of others
	random   *rand.Rand
	history  *History
	conn     *connection // nil if it is not connected
	settings map[string]string
	last     int // number of its latest write or setting
}

// NewClient returns a client of the gateway at addr that records in history.
func NewClient(addr string, number int, seed uint64, history *History) *Client {
	return &Client{addr: addr, number: number, random: rand.New(rand.NewPCG(seed, uint64(number))), history: history}
}

// Run takes steps until stop.
func (c *Client) Run(stop time.Time) {
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
		if c.conn == nil && !c.connect() {
			continue
		}
		c.step()
		if c.conn != nil && c.conn.unread() > 0 {
			c.history.addFault("client %d received %d bytes that it was not owed", c.number, c.conn.unread())
			c.disconnect()
		}
	}
	c.disconnect()
}

func (c *Client) connect() bool {
	conn, err := dial(c.addr)
	if err != nil {
		return false
	}
	c.conn = conn
	c.settings = map[string]string{}
	return true
}

func (c *Client) disconnect() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// oneIn is true once in n times on average.
func (c *Client) oneIn(n int) bool { return c.random.IntN(n) == 0 }

// step takes one step.
func (c *Client) step() {
	switch c.random.IntN(8) {
	case 0:
		c.changeSetting()
	case 1, 2:
		c.checkSetting()
	case 3:
		c.send("SELECT 1/0")
	case 4:
		c.runInOneMessage()
	default:
		c.runTransaction()
	}
}

// send sends a statement by a random protocol, and sometimes cancels it.
func (c *Client) send(text string) answer {
	if c.oneIn(rare) {
		c.conn.cancel(time.Duration(c.random.Int64N(int64(maxCancelDelay))))
	}
	message := Simple(text)
	if c.oneIn(2) {
		message = Extended(text)
	}
	return c.received(text, c.conn.exchange(message), 1)
}

// received checks that an answer has as many results as statements, or an error, and notices its end.
func (c *Client) received(text string, a answer, statements int) answer {
	if a.ended() {
		c.disconnect()
	} else if a.code == "" && len(a.tags) != statements {
		c.history.addFault("client %d sent %s and heard %q", c.number, text, a.tags)
	}
	return a
}

// write returns a new write.
func (c *Client) write() string {
	c.last++
	return fmt.Sprintf("UPDATE stock_17.moves SET tag = 'w-%d-%d'", c.number, c.last)
}

func (c *Client) randomSetting() string { return settingNames[c.random.IntN(len(settingNames))] }

// changeSetting sets or resets a setting. After an answer that leaves the value open, it reconnects.
func (c *Client) changeSetting() {
	name := c.randomSetting()
	c.last++
	value := fmt.Sprintf("v%d-%d", c.number, c.last)
	text := fmt.Sprintf("SET %s = '%s'", name, value)
	if c.oneIn(3) {
		text = "RESET " + name
		value = ""
	}
	a := c.send(text)
	if a.ended() || a.code != "" {
		c.disconnect()
		return
	}
	c.settings[name] = value
}

// checkSetting checks that a statement runs under the client's own setting.
func (c *Client) checkSetting() {
	name := c.randomSetting()
	want := c.settings[name]
	if want == "" {
		want = "default"
	}
	switch a := c.send("SHOW " + name); {
	case a.code != "" || a.ended():
	case len(a.rows) != 1 || a.rows[0] != want:
		c.history.addFault("client %d has %s = %s and got %q", c.number, name, want, a.rows)
	default:
		c.history.addRow()
	}
}

// runTransaction runs a transaction of several messages, which it may leave or let fail at any point.
func (c *Client) runTransaction() {
	tx := Transaction{Form: "several messages", Outcome: RolledBack}
	defer func() { c.history.add(tx) }()
	if a := c.send("BEGIN"); a.ended() || a.code != "" {
		tx.Heard = "BEGIN: " + a.code
		c.disconnect()
		return
	}
	for range 1 + c.random.IntN(3) {
		ok := c.runPart(&tx)
		if c.conn == nil {
			return
		}
		if !ok {
			break
		}
	}
	c.endTransaction(&tx)
}

// runPart runs a write, or one that is rolled back to a savepoint. It returns false if the transaction has failed or
// the connection has ended.
func (c *Client) runPart(tx *Transaction) bool {
	statement := c.write()
	switch {
	case c.oneIn(4 * rare):
		c.disconnect()
		tx.Heard = "the client left"
		return false
	case c.oneIn(rare):
		return c.sendPart(tx, "SELECT 1/0")
	case c.oneIn(3):
		tx.Undone = append(tx.Undone, statement)
		name := fmt.Sprintf("s%d", c.last)
		if !c.sendPart(tx, "SAVEPOINT "+name) {
			return false
		}
		c.sendPart(tx, statement)
		return c.conn != nil && c.sendPart(tx, "ROLLBACK TO "+name)
	}
	tx.Writes = append(tx.Writes, statement)
	return c.sendPart(tx, statement)
}

// sendPart sends a statement of a transaction. It returns false if the statement failed.
func (c *Client) sendPart(tx *Transaction, text string) bool {
	a := c.send(text)
	tx.Heard = text + ": " + a.code
	if a.code != "" && !a.ended() && a.status != 'E' {
		c.history.addFault("client %d: %s failed with %s in a transaction, and the status is %c", c.number, text, a.code, a.status)
	}
	return a.code == "" && !a.ended()
}

// endTransaction commits or rolls back, and derives the outcome.
func (c *Client) endTransaction(tx *Transaction) {
	if c.oneIn(5) {
		a := c.send("ROLLBACK")
		tx.Heard = "ROLLBACK: " + a.code
		return
	}
	if c.oneIn(2 * rare) { // it leaves while the COMMIT runs
		_, _ = c.conn.conn.Write(Simple("COMMIT"))
		c.disconnect()
		tx.Outcome = InDoubt
		tx.Heard = "the client left behind COMMIT"
		return
	}
	a := c.send("COMMIT")
	tx.Heard = fmt.Sprintf("COMMIT: %q %s", a.tags, a.code)
	tx.Outcome = commitOutcome(a)
	if !a.ended() && a.status != 'I' {
		c.history.addFault("client %d: after COMMIT, answered %q %s, the status is %c", c.number, a.tags, a.code, a.status)
	}
}

// commitOutcome returns the outcome of a transaction from the answer to the message that commits it.
func commitOutcome(a answer) Outcome {
	switch {
	case a.code == codeInDoubt, a.ended() && a.code == "":
		return InDoubt
	case a.code != "":
		return RolledBack
	case len(a.tags) > 0 && a.tags[len(a.tags)-1] == "ROLLBACK":
		return RolledBack
	}
	return Committed
}

// runInOneMessage runs writes that are one Query or one batch: an implicit transaction, or one with its BEGIN and
// COMMIT.
func (c *Client) runInOneMessage() {
	tx := Transaction{Form: "one message"}
	for range 2 + c.random.IntN(2) {
		tx.Writes = append(tx.Writes, c.write())
	}
	texts := append([]string(nil), tx.Writes...)
	isBatch := c.oneIn(3)
	if isBatch || c.oneIn(2) {
		texts = append(append([]string{"BEGIN"}, texts...), "COMMIT")
	}
	if c.oneIn(rare) {
		texts[len(texts)-1] = "SELECT 1/0"
	}
	text := strings.Join(texts, ";")
	message := Simple(text)
	if isBatch {
		message = Extended(texts...)
	}
	if c.oneIn(rare) {
		c.conn.cancel(time.Duration(c.random.Int64N(int64(maxCancelDelay))))
	}
	a := c.received(text, c.conn.exchange(message), len(texts))
	tx.Heard = fmt.Sprintf("%q %s", a.tags, a.code)
	tx.Outcome = commitOutcome(a)
	c.history.add(tx)
	if c.conn != nil && a.status != 'I' {
		c.send("ROLLBACK")
	}
}
