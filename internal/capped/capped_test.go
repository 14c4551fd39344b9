package capped

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCapped(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capped")
}

var _ = It("a listener closes the oldest connection for one too many, and counts those closed no more", func() {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(inner.Close)
	l := Listen(inner, 2)
	connect := func() (caller, host net.Conn) {
		GinkgoHelper()
		caller, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		host, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { host.Close() }) // may be closed already
		return caller, host
	}
	// ended reads for 100 ms at most.
	ended := func(c net.Conn) bool {
		Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		return err == io.EOF
	}

	first, _ := connect()
	second, _ := connect()
	third, thirdHost := connect()
	Expect([]bool{ended(first), ended(second), ended(third)}).To(Equal([]bool{true, false, false}))

	Expect(thirdHost.Close()).To(Succeed())
	fourth, _ := connect()
	Expect([]bool{ended(second), ended(fourth)}).To(Equal([]bool{false, false}))
})

var _ = It("a server does not count connections whose request is being served", func() {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	started, finish := make(chan bool), make(chan bool)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		started <- true
		<-finish
		w.WriteHeader(http.StatusNoContent)
	})}
	Serve(srv)
	go func() { _ = srv.Serve(Listen(inner, 2)) }() // ends with Close
	DeferCleanup(srv.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	served := dial()
	_, err = fmt.Fprint(served, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	Eventually(started).Should(Receive())
	first := dial()
	for range 3 {
		dial()
	}
	_, err = first.Read(make([]byte, 1))
	Expect(err).To(Equal(io.EOF)) // closed as the oldest that counts
	close(finish)
	answer := make([]byte, 12)
	_, err = io.ReadFull(served, answer)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(answer)).To(Equal("HTTP/1.1 204"))
})
