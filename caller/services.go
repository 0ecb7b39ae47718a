package caller

import (
	"net/http"
	"slices"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

var serviceMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// serveService handles a call to a plain service.
func (h *Handler) serveService(w http.ResponseWriter, r *http.Request, who identity) *chestnutcleat.Problem {
	if !slices.Contains(serviceMethods, r.Method) {
		return methodNotAllowed(w, strings.Join(serviceMethods, ", "))
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), PathServices), "/")
	route, ok := h.Directory.Route(chestnutcleat.RouteName(name))
	if !ok || route.Kind != chestnutcleat.UpstreamService {
		return notRunProblem(chestnutcleat.CodeRouteUnknown, "no such route")
	}
	for _, part := range strings.Split(r.URL.Path, "/") {
		if part == "." || part == ".." {
			return notRunProblem(chestnutcleat.CodeBadRequest, "the path has relative parts")
		}
	}
	body, p := h.readBody(w, r, who)
	if p != nil {
		return p
	}
	c, hdr, p := h.admit(w, r, who, route, body)
	if p != nil {
		return p
	}
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	c.exchange = &serviceExchange{c: c, method: r.Method, path: path, header: r.Header, body: body}
	c.serve(r, h.requests.isDraining() && hdr.mayStartProgram)
	return nil
}
