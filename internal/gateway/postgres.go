package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	pgbackend "gannetspur/internal/backend/postgres"
	"gannetspur/internal/config"
	"gannetspur/internal/decide/connpool"
	"gannetspur/internal/discovery/consul"
	pgfrontend "gannetspur/internal/frontend/postgres"
	"gannetspur/internal/handover"
	"gannetspur/internal/scramauth"
	"gannetspur/internal/sqltext"
)

// postgresProtocol implements protocol for PostgreSQL: its wire protocol for clients and engines, and Consul for the
// endpoint list.
type postgresProtocol struct {
	process  *process
	ctx      context.Context // cancels the Consul watch when the process ends
	path     string          // of the deploy file
	deploy   *config.Postgres
	users    *scramauth.Users // nil: clients are admitted without authentication
	front    *pgfrontend.Frontend
	watch    *consul.Watcher
	watching bool // watchEndpoints was called
}

// assemblePostgres creates the gateway from a deploy file. Without a listen address it creates nothing.
func (p *process) assemblePostgres(ctx context.Context, path, sitesPath string) error {
	deploy, err := config.LoadPostgres(path)
	if err != nil || deploy.Listen == "" {
		return err
	}
	limits := limits{memoryMB: deploy.MemoryMB, maxDescriptors: deploy.MaxDescriptors}
	if err := p.assembleCore(deploy.SiteSettings.Policy, uint64(os.Getpid()), limits); err != nil {
		return err
	}
	p.core.SetBackend(pgbackend.New(p.loop, p.core, backendOptions(deploy, limits), p.counters, p.log))
	if err := p.assembleSites(sitesPath, pgbackend.Codec{}, deploy.SiteSettings.Policy); err != nil {
		return err
	}
	if err := p.assembleCostModel(&deploy.Shapes, &deploy.SiteSettings, false); err != nil {
		return err
	}
	pg := &postgresProtocol{process: p, ctx: ctx, path: path, deploy: deploy}
	pg.watch = consul.New(p.loop.Post, p.core, p.counters, p.log)
	options := pg.frontendOptions(deploy)
	p.limits.maxClients = options.MaxClients
	pg.front = pgfrontend.New(p.loop, p.core, options, p.counters)
	p.protocol = pg
	return nil
}

// backendOptions returns the options of the engine side in a deploy file.
func backendOptions(deploy *config.Postgres, limits limits) pgbackend.Options {
	return pgbackend.Options{
		User:             deploy.User,
		Database:         deploy.Database,
		Password:         deploy.Engine.Password,
		TLS:              deploy.Engine.Config,
		ConnectTimeout:   config.FromMS(deploy.ConnectTimeoutMS),
		MaxBufferedBytes: limits.memoryFraction(4),
		Pool: connpool.Limits{
			MaxConnections: deploy.Pool.PerEngine,
			MaxPerUser:     deploy.Pool.PerUser,
			MinConnections: deploy.Pool.MinIdle,
			IdleTimeout:    config.FromMS(deploy.IdleTimeoutMS),
			MaxLifetime:    config.FromSeconds(deploy.Pool.MaxLifetimeSeconds),
		},
	}
}

// frontendOptions returns the options of the client side in a deploy file. A reload may change them.
func (p *postgresProtocol) frontendOptions(deploy *config.Postgres) pgfrontend.Options {
	options := pgfrontend.Options{
		DefaultClass:           deploy.DefaultClass,
		WriteClass:             deploy.WriteClass,
		ReadOnlyFunctions:      sqltext.FunctionSet{},
		MaxClients:             maxClientsFor(deploy.MaxDescriptors),
		MaxHeldBytes:           limits{memoryMB: deploy.MemoryMB}.memoryFraction(6),
		MaxClientBytes:         limits{memoryMB: deploy.MemoryMB}.memoryFraction(10),
		Shapes:                 p.process.shapes,
		IdleTransactionTimeout: config.FromSeconds(deploy.TransactionIdleSeconds),
		TransactionTimeout:     config.FromSeconds(deploy.TransactionMaxSeconds),
		TLS:                    deploy.TLS.Config,
		RequireTLS:             deploy.TLS.Require,
		Users:                  p.loginUsers(deploy),
	}
	for _, name := range deploy.ReadOnlyFunctions {
		options.ReadOnlyFunctions[name] = true
	}
	if deploy.MaxClients > 0 {
		options.MaxClients = min(options.MaxClients, deploy.MaxClients)
	}
	for _, statement := range deploy.Statements {
		options.Rules = append(options.Rules, pgfrontend.Rule(statement))
	}
	return options
}

// loginUsers returns the users in a deploy file who may log in; nil means that all clients are admitted. After a reload the
// users are derived from the previous ones, so that unknown users are still shown the same salt.
func (p *postgresProtocol) loginUsers(deploy *config.Postgres) *scramauth.Users {
	if len(deploy.Logins) == 0 {
		if !isLoopback(deploy.Listen) {
			p.process.log.Warn("trust", "listen", deploy.Listen, "why", "no users file: every client that can reach this address is admitted")
		}
		return nil
	}
	if p.users == nil {
		p.users = scramauth.NewUsers(deploy.Logins)
	} else {
		p.users = p.users.WithUsers(deploy.Logins)
	}
	return p.users
}

// isLoopback reports whether HOST:PORT is on the loopback interface. Of host names it knows only localhost.
func isLoopback(address string) bool {
	numeric := strings.Replace(address, "localhost:", "127.0.0.1:", 1)
	parsed, err := netip.ParseAddrPort(numeric)
	return err == nil && parsed.Addr().IsLoopback()
}

func (p *postgresProtocol) frontend() frontend { return p.front }

func (p *postgresProtocol) listen() error { return p.front.Listen(p.deploy.Listen) }

func (p *postgresProtocol) watchEndpoints(known *handover.ProcessState) {
	if known != nil {
		p.watch.Restore(known.Core.Engines)
	}
	p.watching = true
	p.watch.Watch(p.ctx, consul.Options(p.deploy.Consul))
}

func (p *postgresProtocol) lastEvent() uint64 { return 0 }

func (p *postgresProtocol) reloadable() bool { return true }

// reload applies the options of the frontend and of Consul. Changes to the settings file need a restart.
func (p *postgresProtocol) reload() error {
	next, err := config.LoadPostgres(p.path)
	if err != nil {
		return err
	}
	if next.Listen == "" {
		return errors.New("deploy file: listen: missing")
	}
	for class := range next.Classes() {
		if _, known := p.process.core.Class(class); !known {
			return fmt.Errorf("deploy file: class %q is not in the settings that the gateway was started with", class)
		}
	}
	p.front.SetOptions(p.frontendOptions(next))
	if p.watching && next.Consul != p.deploy.Consul {
		p.watch.Watch(p.ctx, consul.Options(next.Consul))
	}
	p.deploy = next
	return nil
}
