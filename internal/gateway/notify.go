package gateway

import (
	"net"
	"os"
	"time"
)

// notifyTimeout bounds the time to connect to the service manager.
const notifyTimeout = time.Second

// notifyServiceManager sends a state to the service manager if $NOTIFY_SOCKET names its socket (see sd_notify(3)).
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
	// Errors are ignored: the gateway serves whether or not the service manager gets the message.
	_, _ = conn.Write([]byte(state))
	_ = conn.Close()
}
