package userplatform

import (
	"context"
	"net"
	"os"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// reusePort lets the listener of a server and the reservation of its port share the port.
// Others get the port only if they ask for it by number.
func reusePort(_, _ string, c syscall.RawConn) error {
	var failed error
	if err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); err != nil {
		return err
	}
	return failed
}

// listenReserved listens on an address, which may leave the port open.
func listenReserved(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: reusePort}
	return config.Listen(context.Background(), "tcp", address)
}

// reservePort binds a socket that does not listen to the address of a listener, so that no
// other listener and no connection is given the port while its server is down. The port is
// free once the file is closed or not referenced any more.
func reservePort(address net.Addr) (*os.File, error) {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return nil, errors.Errorf("%v is no TCP address", address)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "socket")
	}
	file := os.NewFile(uintptr(fd), "reservation of "+address.String())
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, "share the port")
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())}); err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, "bind")
	}
	return file, nil
}
