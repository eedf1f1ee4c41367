package pressure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/testbed/harness"
)

// target is where the misbehaving clients connect.
type target struct {
	addr  string
	crowd int
}

// picture plays misbehaving clients until its context ends.
type picture func(context.Context, target)

// Sizes of input, close to the limits of the front ends.
const (
	largeHead     = 16<<10 - 256
	largeBody     = 96<<10 - 16
	largeMessage  = 1<<20 - 64
	manyValues    = 65535
	pieceBytes    = 64                     // written at once by clients that write slowly
	piecePause    = 20 * time.Millisecond  // between these pieces
	reconnectWait = 100 * time.Millisecond // of a crowd's client that was closed
)

// pictures holds the misbehaviours by front end and name.
var pictures = map[Front]map[string]picture{
	Platform: {
		"half-body":     crowd(once(halfOf(platformRequest("lookup", "00000000000000aa", strings.Repeat("x", largeBody))))),
		"half-head":     crowd(once(manyFields())),
		"slow-body":     crowd(slowly(platformRequest("lookup", "00000000000000ab", strings.Repeat("x", largeBody)))),
		"bytes-alone":   crowd(byteByByte(append(manyFields(), "\r\n"...))),
		"unread-rows":   crowd(unread(func(int) []byte { return platformRequest("lookup", newRequestID(), "SELECT 1") })),
		"flood-health":  one(flood(repeat([]byte("GET /health HTTP/1.1\r\n\r\n")))),
		"unread-health": one(floodUnread(repeat([]byte("GET /health HTTP/1.1\r\n\r\n")))),
		"flood-unknown": one(flood(repeat([]byte("GET /nothing HTTP/1.1\r\n\r\n")))),
		"flood-names": one(flood(func(n int) []byte {
			return platformRequestWaiting("lookup", newRequestID(), fmt.Sprintf("SELECT c%d FROM sales_%d.t%d", n, n, n), 600_000)
		})),
		"flood-classes": one(flood(func(n int) []byte { return platformRequest(fmt.Sprintf("class%d", n), newRequestID(), "SELECT 1") })),
	},
	Postgres: {
		"half-query":  crowd(afterStartup(once(halfOf(simpleQuery(strings.Repeat("x", largeMessage)))))),
		"slow-query":  crowd(afterStartup(slowly(simpleQuery(strings.Repeat("x", largeMessage))))),
		"bytes-alone": crowd(byteByByte(startupWith(strings.Repeat("x", 3<<10)))),
		"many-values": crowd(afterStartup(once(append(parseMessage("", "SELECT 1"), halfOf(bindMessage("p", "", manyValues))...)))),
		"statements": crowd(afterStartup(named(func(n int) []byte {
			return parseMessage(fmt.Sprintf("s%d", n), "SELECT '"+strings.Repeat("x", largeMessage-64)+"'")
		}))),
		"short-tokens": crowd(afterStartup(named(func(n int) []byte {
			return parseMessage(fmt.Sprintf("s%d", n), "SELECT "+strings.Repeat("1,", largeMessage/2-64)+"1")
		}))),
		"portals":      crowd(afterStartup(once(append(parseMessage("", "SELECT 1"), portals()...)))),
		"unread-rows":  crowd(afterStartup(unread(func(int) []byte { return simpleQuery("SELECT '" + strings.Repeat("x", 64<<10) + "'") }))),
		"flood-sync":   one(afterStartup(flood(repeat(syncMessage())))),
		"flood-empty":  one(afterStartup(flood(repeat(simpleQuery(""))))),
		"flood-errors": one(afterStartup(flood(repeat(simpleQuery("COPY t FROM STDIN"))))),
		"unread-empty": one(afterStartup(floodUnread(repeat(simpleQuery(""))))),
		"many-ends":    one(afterStartup(flood(repeat(simpleQuery(strings.Repeat("END;", largeMessage/4)))))),
		"flood-names": one(afterStartup(flood(func(n int) []byte {
			return append(parseMessage(fmt.Sprintf("n%d", n), fmt.Sprintf("SELECT c%d FROM sales_%d.t", n, n)), syncMessage()...)
		}))),
		"flood-settings": one(afterStartup(flood(func(n int) []byte { return simpleQuery(fmt.Sprintf("SET my.s%d = 'v%d'", n, n)) }))),
	},
}

// talk is what one misbehaving client does on its connection.
type talk func(ctx context.Context, c net.Conn)

// crowd returns a picture of many connections that each do the same, and connect again when they are closed.
func crowd(do talk) picture {
	return func(ctx context.Context, t target) {
		var all sync.WaitGroup
		for range t.crowd {
			all.Go(func() {
				for ctx.Err() == nil {
					visit(ctx, t.addr, do)
					_ = harness.Sleep(ctx, reconnectWait)
				}
			})
		}
		all.Wait()
	}
}

// visit opens one connection, which ends with the context.
func visit(ctx context.Context, addr string, do talk) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	do(ctx, c)
}

// afterStartup completes the startup of a PostgreSQL client before the talk.
func afterStartup(do talk) talk {
	return func(ctx context.Context, c net.Conn) {
		client := &clientConn{Conn: c, front: Postgres}
		if _, err := c.Write(startupPacket()); err != nil {
			return
		}
		if _, err := client.readPostgres(); err == nil {
			do(ctx, c)
		}
	}
}

// once writes the text, and waits for the end of the connection.
func once(text []byte) talk {
	return func(_ context.Context, c net.Conn) {
		if _, err := c.Write(text); err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// slowly writes the text in small pieces.
func slowly(text []byte) talk { return inPieces(text, pieceBytes, piecePause) }

// byteByByte writes the text byte by byte, as fast as the connection takes it.
func byteByByte(text []byte) talk { return inPieces(text, 1, 0) }

// inPieces writes the text in pieces with a pause behind each, and waits for the end of the connection.
func inPieces(text []byte, size int, pause time.Duration) talk {
	return func(ctx context.Context, c net.Conn) {
		for rest := text; len(rest) > 0 && ctx.Err() == nil; {
			n := min(size, len(rest))
			if _, err := c.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
			if pause > 0 {
				time.Sleep(pause)
			}
		}
		_, _ = io.Copy(io.Discard, c)
	}
}

// unread sends requests and reads nothing.
func unread(request func(n int) []byte) talk {
	return func(ctx context.Context, c net.Conn) {
		for n := 0; ctx.Err() == nil; n++ {
			if _, err := c.Write(request(n)); err != nil {
				return
			}
		}
	}
}

// named sends messages that each leave something behind, and reads the answers.
func named(message func(n int) []byte) talk {
	return func(ctx context.Context, c net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for n := 0; ctx.Err() == nil; n++ {
			if _, err := c.Write(message(n)); err != nil {
				return
			}
		}
	}
}

// one returns a picture of one connection, opened again at once when it is closed.
func one(do talk) picture {
	return func(ctx context.Context, t target) {
		for ctx.Err() == nil {
			visit(ctx, t.addr, do)
		}
	}
}

// floodBatch is how many requests one connection at full speed writes at once at least, in bytes.
const floodBatch = 64 << 10

// floodTalk sends requests at full speed. read says whether the answers are read.
func floodTalk(request func(n int) []byte, read func(net.Conn)) talk {
	return func(ctx context.Context, c net.Conn) {
		go read(c)
		n := 0
		for ctx.Err() == nil {
			var batch bytes.Buffer
			for batch.Len() < floodBatch {
				batch.Write(request(n))
				n++
			}
			if _, err := c.Write(batch.Bytes()); err != nil {
				return
			}
		}
	}
}

// flood sends requests at full speed and reads the answers.
func flood(request func(n int) []byte) talk {
	return floodTalk(request, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

// floodUnread sends requests at full speed and reads nothing.
func floodUnread(request func(n int) []byte) talk {
	return floodTalk(request, func(net.Conn) {})
}

// repeat returns the same request each time.
func repeat(request []byte) func(int) []byte { return func(int) []byte { return request } }

// halfOf returns all but the last hundredth of a text, so that nearly all of it has to be kept.
func halfOf(text []byte) []byte { return text[:len(text)-len(text)/100-1] }

// manyFields returns a head of very many short fields that lacks its end.
func manyFields() []byte {
	head := []byte("GET /health HTTP/1.1\r\n")
	for len(head) < largeHead {
		head = append(head, "a:b\r\n"...)
	}
	return head
}

// portals returns Binds of many portals with long values, and no Sync, which would close them.
func portals() (messages []byte) {
	for n := range 100 {
		messages = append(messages, bindMessage(fmt.Sprintf("p%d", n), "", manyValues)...)
	}
	return messages
}
