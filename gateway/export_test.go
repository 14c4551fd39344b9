package gateway

// CallersAddress returns the IP:port at which the gateway accepts callers.
func (g *Gateway) CallersAddress() string { return g.listener.Addr().String() }
