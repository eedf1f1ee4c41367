package gateway

import (
	"net"
	"os"
	"time"
)

const notifyTimeout = time.Second

// notifyServiceManager tells a service manager of a state, where one has asked for that (sd_notify(3)).
func notifyServiceManager(state string) {
	path := os.Getenv("NOTIFY_SOCKET")
	if path == "" {
		return
	}
	if path[0] == '@' { // an abstract socket
		path = "\x00" + path[1:]
	}
	conn, err := net.DialTimeout("unixgram", path, notifyTimeout)
	if err != nil {
		return
	}
	// The gateway serves whether or not the service manager hears of it.
	_, _ = conn.Write([]byte(state))
	_ = conn.Close()
}
