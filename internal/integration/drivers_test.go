package integration

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/scramauth"
	"gannetspur/internal/testbed/emulator"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/lib/pq"
)

// gatewayForDrivers starts the PostgreSQL front end as operators would for real client programs: with passwords
// and required encryption.
func gatewayForDrivers(t *testing.T) *gateway {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go emulator.Postgres(ln, emulator.Options{Work: func(text string) (time.Duration, float64) {
		if strings.Contains(text, "pg_sleep") {
			return time.Minute, 1
		}
		return time.Millisecond, 1
	}, Log: slog.New(slog.DiscardHandler)})
	g := newGateway(t, nil)
	v, err := scramauth.NewVerifier("secret")
	if err != nil {
		t.Fatal(err)
	}
	g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
	g.pgOptions.Users = scramauth.NewUsers([]scramauth.User{{Name: "desk", Verifier: v}})
	g.pgOptions.TLS, g.pgOptions.RequireTLS = serverTLS(certificate(t)), true
	return g.startPostgres(ln.Addr().String())
}

// TestPgx guards against incompatibility with pgx: logins, prepared statements, batches, transactions with
// savepoints and cursors, timeouts and a connection pool.
func TestPgx(t *testing.T) {
	g := gatewayForDrivers(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	open := func(password string) (*pgx.Conn, error) {
		return pgx.Connect(ctx, fmt.Sprintf("postgres://desk:%s@%s/register?sslmode=require", password, g.addr))
	}
	if _, err := open("wrong"); err == nil || !strings.Contains(err.Error(), "28P01") {
		t.Errorf("wrong password: got %v, want an error with 28P01", err)
	}
	if _, err := pgx.Connect(ctx, fmt.Sprintf("postgres://desk:secret@%s/register?sslmode=disable", g.addr)); err == nil {
		t.Error("without encryption: got a connection, want an error")
	}
	c, err := open("secret")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close(ctx) }()
	// first returns the first column of a query's first row.
	first := func(q interface {
		QueryRow(ctx context.Context, sql string, args ...any) pgx.Row
	}, text string, args ...any) string {
		t.Helper()
		var got string
		if err := q.QueryRow(ctx, text, args...).Scan(&got); err != nil {
			t.Errorf("%s: got %v, want no error", text, err)
		}
		return got
	}
	if got := first(c, "SELECT part FROM stock_1.parts WHERE id = $1", "a"); got != "SELECT part FROM stock_1.parts WHERE id = $1" {
		t.Errorf("query: got %q, want the statement's text", got)
	}
	if err := c.Ping(ctx); err != nil {
		t.Errorf("ping: got %v, want no error", err)
	}
	if _, err := c.Exec(ctx, "UPDATE parts SET a = $1", "x"); err != nil {
		t.Errorf("exec: got %v, want no error", err)
	}
	if _, err := c.Prepare(ctx, "named", "SELECT $1"); err != nil {
		t.Errorf("prepare: got %v, want no error", err)
	}
	first(c, "named", "x")
	if err := c.Deallocate(ctx, "named"); err != nil {
		t.Errorf("deallocate: got %v, want no error", err)
	}
	var b pgx.Batch
	for i := range 5 {
		b.Queue("SELECT $1", strconv.Itoa(i))
	}
	r := c.SendBatch(ctx, &b)
	for range 5 {
		first(batchRow{r}, "")
	}
	if err := r.Close(); err != nil {
		t.Errorf("batch: got %v, want no error", err)
	}
	tx, err := c.BeginTx(ctx, pgx.TxOptions{IsoLevel: pgx.Serializable})
	if err != nil {
		t.Fatal(err)
	}
	first(tx, "SELECT $1", "x")
	inner, err := tx.Begin(ctx) // a savepoint
	if err != nil {
		t.Fatalf("savepoint: got %v, want no error", err)
	}
	var e *pgconn.PgError
	if _, err := inner.Exec(ctx, "SELECT 1/0"); !errors.As(err, &e) || e.Code != "22012" {
		t.Errorf("engine's error: got %v, want code 22012", err)
	}
	if err := inner.Rollback(ctx); err != nil {
		t.Errorf("rollback to a savepoint: got %v, want no error", err)
	}
	if _, err := tx.Exec(ctx, "DECLARE c CURSOR FOR SELECT 1"); err != nil {
		t.Errorf("cursor: got %v, want no error", err)
	}
	first(tx, "FETCH 2 FROM c")
	if err := tx.Commit(ctx); err != nil {
		t.Errorf("commit: got %v, want no error", err)
	}
	if err := pgx.BeginFunc(ctx, c, func(pgx.Tx) error { return errors.New("no") }); err == nil {
		t.Error("function that fails in a transaction: got no error, want its error")
	}
	if s := c.PgConn().TxStatus(); s != 'I' {
		t.Errorf("transaction status at the end: got %c, want I", s)
	}
	short, end := context.WithTimeout(ctx, 200*time.Millisecond)
	defer end()
	if _, err := c.Exec(short, "SELECT pg_sleep(60)"); err == nil {
		t.Error("statement past its context's deadline: got no error, want one")
	}
	pool, err := pgxpool.New(ctx, fmt.Sprintf("postgres://desk:secret@%s/register?sslmode=require&pool_max_conns=4", g.addr))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	done := make(chan error, 20)
	for range 20 {
		go func() {
			done <- pgx.BeginFunc(ctx, pool, func(tx pgx.Tx) error {
				_, err := tx.Exec(ctx, "UPDATE parts SET a = 1")
				return err
			})
		}()
	}
	for range 20 {
		if err := <-done; err != nil {
			t.Errorf("transaction through a pool: got %v, want no error", err)
		}
	}
}

// batchRow reads the next result of a batch through the method of a connection or transaction.
type batchRow struct{ r pgx.BatchResults }

// QueryRow ignores its arguments and returns the next result's row.
func (b batchRow) QueryRow(context.Context, string, ...any) pgx.Row { return b.r.QueryRow() }

// TestLibPq guards against incompatibility with lib/pq under database/sql: logins, queries, prepared statements
// and transactions.
func TestLibPq(t *testing.T) {
	g := gatewayForDrivers(t)
	host, port, _ := net.SplitHostPort(g.addr)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	db, err := sql.Open("postgres", fmt.Sprintf("host=%s port=%s user=desk password=secret dbname=register sslmode=require", host, port))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	db.SetMaxOpenConns(3)
	var got string
	if err := db.QueryRowContext(ctx, "SELECT part FROM stock_1.parts").Scan(&got); err != nil || got != "SELECT part FROM stock_1.parts" {
		t.Errorf("query: got %q, %v, want the statement's text", got, err)
	}
	if err := db.QueryRowContext(ctx, "SELECT $1", "x").Scan(&got); err != nil {
		t.Errorf("query with a value: got %v, want no error", err)
	}
	if err := db.PingContext(ctx); err != nil {
		t.Errorf("ping: got %v, want no error", err)
	}
	st, err := db.PrepareContext(ctx, "SELECT $1")
	if err != nil {
		t.Fatalf("prepare: got %v, want no error", err)
	}
	for range 5 {
		if err := st.QueryRowContext(ctx, "x").Scan(&got); err != nil {
			t.Errorf("prepared: got %v, want no error", err)
		}
	}
	tx, err := db.BeginTx(ctx, &sql.TxOptions{Isolation: sql.LevelSerializable})
	if err != nil {
		t.Fatalf("begin: got %v, want no error", err)
	}
	if _, err := tx.ExecContext(ctx, "UPDATE parts SET a = $1", "x"); err != nil {
		t.Errorf("exec in a transaction: got %v, want no error", err)
	}
	if err := tx.Commit(); err != nil {
		t.Errorf("commit: got %v, want no error", err)
	}
	if tx, err = db.BeginTx(ctx, &sql.TxOptions{ReadOnly: true}); err != nil {
		t.Fatalf("begin read only: got %v, want no error", err)
	}
	if err := tx.QueryRowContext(ctx, "SELECT 1").Scan(&got); err != nil {
		t.Errorf("query in a transaction: got %v, want no error", err)
	}
	if err := tx.Rollback(); err != nil {
		t.Errorf("rollback: got %v, want no error", err)
	}
	if bad, err := sql.Open("postgres", fmt.Sprintf("host=%s port=%s user=desk password=wrong sslmode=require", host, port)); err != nil || bad.PingContext(ctx) == nil {
		t.Errorf("wrong password: got a connection (sql.Open: %v), want an error from Ping", err)
	}
}
