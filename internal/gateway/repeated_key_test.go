package gateway

import (
	"testing"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/testbed/load"
)

// leave closes the connections of the loads' clients, and lets the engines go on.
func (g *testGateway) leave(loads []openLoad) {
	g.t.Helper()
	for _, l := range loads {
		l.client.Close()
		<-l.result
		g.release(l.mark)
	}
}

// repeat sends loads again, each on a new connection, and checks that each had its effect once.
func (g *testGateway) repeat(loads []openLoad) {
	g.t.Helper()
	var repeated []openLoad
	for _, l := range loads {
		repeated = append(repeated, sendLoad(g.connect(), l.mark))
	}
	g.expectOneEffect(repeated, load.Served)
}

// TestRepeatedKeyStaysInItsZone guards against a load that runs in two zones because its client has left and sends it
// again with its key: the gateway remembers where the key was sent.
func TestRepeatedKeyStaysInItsZone(t *testing.T) {
	forEachFrontend(t, []string{groupAll, groupZone}, func(g *testGateway) {
		g.drainZone(firstZone, 1) // which is the gateway's own, and preferred
		loads := g.sendLoads(g.connectAll())
		g.leave(loads)
		g.undrainZone(firstZone, 1)
		g.repeat(loads)
	})
}

// TestRepeatedKeyStaysInItsZoneAfterAnUpgrade guards against an upgrade that forgets where keys were sent.
func TestRepeatedKeyStaysInItsZoneAfterAnUpgrade(t *testing.T) {
	forEachFrontend(t, []string{groupAll, groupZone}, func(g *testGateway) {
		g.drainZone(firstZone, 1)
		loads := g.sendLoads(g.connectAll())
		g.leave(loads)
		g.undrainZone(firstZone, 1)
		_, result := g.startProbation()
		if reply := g.completeProbation(result); reply.Problem != "" {
			g.t.Fatalf("upgrade failed: %q", reply.Problem)
		}
		g.awaitEvent("upgrade.exit")
		g.repeat(loads)
	})
}

// TestRepeatedKeyStaysInItsZoneAfterAFailedUpgrade guards against a key that only the new process of an upgrade knew,
// which then died.
func TestRepeatedKeyStaysInItsZoneAfterAFailedUpgrade(t *testing.T) {
	forEachFrontend(t, []string{groupAll, groupZone}, func(g *testGateway) {
		g.drainZone(firstZone, 1)
		pid, loads := g.sendInProbation()
		g.leave(loads)
		g.undrainZone(firstZone, 2)
		g.kill(pid)
		g.repeat(loads)
	})
}

// TestTakenBackKeyStaysInItsZone guards against a doubt that is forgotten: the client of a load that was not sent again
// sends it itself, once the engines of its zone are back.
func TestTakenBackKeyStaysInItsZone(t *testing.T) {
	forEachFrontend(t, []string{groupAll, groupZone}, func(g *testGateway) {
		pid, loads := g.sendInFirstZone()
		g.kill(pid)
		g.expectOneEffect(loads, g.doubt())
		g.undrainZone(firstZone, 1)
		g.repeat(loads)
	})
}

// TestKeySentDuringAnUpgradeIsKnownAfterIt guards against a key that the old process sent once the new one had its state:
// its connection was busy, and stayed.
func TestKeySentDuringAnUpgradeIsKnownAfterIt(t *testing.T) {
	g := startTestGateway(t, gatewayOptions{
		engines: 2 * enginesPerZone, zones: []string{firstZone, secondZone}, change: []string{groupAll, groupZone},
	})
	g.drainZone(firstZone, 1)
	c := g.newRawClient()
	c.answer()
	const lookup, key, row = "q-1-1", "k-1-1", "row"
	g.hold(lookup)
	g.hold(key)
	c.send(
		pgproto.AppendMessage(nil, 'Q', pgproto.CString("SELECT part FROM stock_3.parts WHERE tag = '"+lookup+"'")),
		pgproto.AppendMessage(nil, 'P', []byte{0}, pgproto.CString("INSERT INTO stock_3.batches VALUES ($1, $2)"), []byte{0, 0}),
		pgproto.AppendMessage(nil, 'B', []byte{0}, []byte{0}, []byte{0, 0, 0, 2}, pgproto.Int32(len(key)), []byte(key), pgproto.Int32(len(row)), []byte(row), []byte{0, 0}),
		pgproto.AppendMessage(nil, 'E', []byte{0}, pgproto.Int32(0)),
		pgproto.AppendMessage(nil, 'S'),
	)
	g.awaitRuns(lookup, 1)
	_, result := g.startProbation()
	g.release(lookup)
	g.awaitRuns(key, 1)
	_ = c.conn.Close()
	g.release(key)
	g.undrainZone(firstZone, 2)
	if reply := g.completeProbation(result); reply.Problem != "" {
		t.Fatalf("upgrade failed: %q", reply.Problem)
	}
	g.awaitEvent("upgrade.exit")
	g.repeat([]openLoad{{mark: key}})
}

// TestSecondDeathKeepsTheZone guards against an attempt that is forgotten because a second upgrade begins after the first
// one's new process has died, and its new process dies too.
func TestSecondDeathKeepsTheZone(t *testing.T) {
	forEachFrontend(t, []string{groupAll, groupZone}, func(g *testGateway) {
		pid, loads := g.sendInFirstZone()
		g.kill(pid)
		g.expectOneEffect(loads, g.doubt())
		pid, _ = g.startProbation()
		var repeated []openLoad
		for _, l := range loads { // at the second new process, which has the clients' connections
			repeated = append(repeated, sendLoad(l.client, l.mark))
		}
		g.expectOneEffect(repeated, load.Refused)
		g.kill(pid)
		g.undrainZone(firstZone, 1)
		g.repeat(loads)
	})
}
