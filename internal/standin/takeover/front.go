package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// absence is what the address of a database does while its process is down.
type absence int

const (
	absentRefused absence = iota // nobody listens: ECONNREFUSED
	absentSilent                 // connections are taken, and nothing is answered
	absentReset                  // connections are taken, and reset
)

func (a absence) String() string { return [...]string{"refused", "silent", "reset"}[a] }

// front is the address at which hosts reach a database. Its port stays reserved while
// nobody listens there.
type front struct {
	address string
	reserve *os.File // a bound socket that never listens
	serve   func(net.Conn)

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	away     bool
	how      absence
	back     chan struct{} // closed when the database returns
}

// newFront reserves an address and opens it.
func newFront(serve func(net.Conn)) (*front, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := &front{reserve: os.NewFile(uintptr(fd), "front"), serve: serve}
	if err := f.bind(fd); err != nil {
		f.reserve.Close()
		return nil, err
	}
	if err := f.open(); err != nil {
		f.reserve.Close()
		return nil, err
	}
	return f, nil
}

func (f *front) bind(fd int) error {
	// With SO_REUSEADDR on both, another socket may listen on the port.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return err
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return errors.New("a socket of IPv4 has no address of it")
	}
	f.address = fmt.Sprintf("127.0.0.1:%d", bound.Port)
	return nil
}

// open begins to listen. mu is held, or f is new.
func (f *front) open() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", f.address)
	if err != nil {
		return err
	}
	f.listener = l
	go f.accept(l)
	return nil
}

func (f *front) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		away, how, back := f.away, f.how, f.back
		f.mu.Unlock()
		switch {
		case !away:
			go f.serve(conn)
		case how == absentReset:
			reset(conn)
		default:
			go func() {
				<-back
				reset(conn)
			}()
		}
	}
}

// reset closes a connection so that its far end sees a reset.
func reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // it is closed in any case
	}
	conn.Close()
}

// leave is called when the process is about to end.
func (f *front) leave(how absence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return
	}
	f.away, f.how, f.back = true, how, make(chan struct{})
	if how == absentRefused {
		f.listener.Close()
	}
}

// enter is called when the process listens again.
func (f *front) enter() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.away {
		return nil
	}
	if f.how == absentRefused {
		if err := f.open(); err != nil {
			return err
		}
	}
	f.away = false
	close(f.back)
	return nil
}

// awaitVoice waits while the database is away and its address is silent, unless gone is
// closed.
func (f *front) awaitVoice(gone <-chan struct{}) {
	f.mu.Lock()
	silent, back := f.away && f.how == absentSilent, f.back
	f.mu.Unlock()
	if silent {
		select {
		case <-back:
		case <-gone:
		}
	}
}
