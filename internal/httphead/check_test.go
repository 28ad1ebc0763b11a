package httphead

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against rejecting whole bodies whose length net/http does not tell: frames mark the end over HTTP/2,
// and compressed data has an end of its own.
func TestBodiesWithAnEndAreDelimited(t *testing.T) {
	for name, test := range map[string]struct{ http2, compressed bool }{
		"chunks": {}, "HTTP/2": {http2: true}, "compressed": {compressed: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				body := io.Writer(w)
				if test.compressed {
					w.Header().Set("Content-Encoding", "gzip")
					compressor := gzip.NewWriter(w)
					defer compressor.Close()
					body = compressor
				}
				_, _ = io.WriteString(body, "part")
				_ = http.NewResponseController(w).Flush()
				_, _ = io.WriteString(body, "rest")
			}))
			server.EnableHTTP2 = test.http2
			server.StartTLS()
			defer server.Close()
			resp, err := server.Client().Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if err := CheckDelimited(resp); err != nil || test.http2 != (resp.ProtoMajor == 2) {
				t.Errorf("%s: %v", resp.Proto, err)
			}
		})
	}
}
