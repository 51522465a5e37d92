package entry

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"flamingorudder.example/internal/fakeplatform"
)

// TestRouteOfEscapedPath guards against a request that is run by the service of a longer route, whose prefix only the decoded path has. An
// escaped slash is data within a segment, and an escaped letter is not the letter that a prefix has.
func TestRouteOfEscapedPath(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(`{"version":1,"routes":[
 {"name":"shop","host":"a.example","prefix":"/shop/","kind":"unsafe","timeoutMs":2000,"service":"ledger","maxAttempts":1},
 {"name":"admin","host":"a.example","prefix":"/shop/admin/","kind":"unsafe","timeoutMs":2000,"service":"admin","maxAttempts":1},
 {"name":"escaped","host":"a.example","prefix":"/shop/a%2Fb/","kind":"unsafe","timeoutMs":2000,"service":"escaped","maxAttempts":1}],
 "services":[{"name":"ledger","maxConnections":50},{"name":"admin","maxConnections":50},{"name":"escaped","maxConnections":50}],
 "limits":{"maxBodyBytes":1000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}`))
	u := startDaemon(t, store, "a")
	for _, service := range []string{"ledger", "admin", "escaped"} {
		u.putServer("i-"+service, service, backendServer(t, func(c net.Conn, r *http.Request) { writeAnswer(c, r, 200, service+" "+r.RequestURI) }), "null")
	}
	u.waitReady()
	for _, test := range []struct{ path, service string }{
		{"/shop/admin/x", "admin"},
		{"/shop/admin%2Fx", "ledger"},
		{"/shop/admin%2fx/y", "ledger"},
		{"/shop%2Fadmin/x", ""},
		{"/shop/%61dmin/x", "ledger"},
		{"/shop/x?y=/shop/admin/", "ledger"},
		{"/shop/x%3F/shop/admin/", "ledger"},
		{"/shop/a%2Fb/x", "escaped"},
		{"/shop/a/b/x", "ledger"},
		{"/shop/admin/x%2Fy%20z", "admin"},
	} {
		status, want := http.StatusOK, fmt.Sprintf("%s %s", test.service, test.path)
		if test.service == "" {
			status, want = http.StatusNotFound, ""
		}
		if r := u.do(http.MethodPost, test.path, "k1", "x"); r.status != status || r.body != want {
			t.Errorf("%s: status %d, body %q, want %d, %q", test.path, r.status, r.body, status, want)
		}
	}
}

// TestPathAsSent guards against a path that is not the one in the request line.
func TestPathAsSent(t *testing.T) {
	for target, want := range map[string]string{
		"/a%2Fb/c?d=/e/": "/a%2Fb/c", "/": "/", "http://a.example/x%2Fy/z?q": "/x%2Fy/z", "http://a.example": "", "*": "*", "//a/b": "//a/b",
	} {
		if got := pathAsSent(&http.Request{RequestURI: target}); got != want {
			t.Errorf("%s: %q, want %q", target, got, want)
		}
	}
}
