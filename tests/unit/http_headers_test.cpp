#include "net/http.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

TEST_CASE("http headers: the fields of a connection are removed") {
  http_headers Headers{{{"Host", "h:80"},
                        {"connection", "close, X-Hop"},
                        {"Connection", "X-Other ,\tx-third"},
                        {"X-Hop", "1"},
                        {"x-hop", "2"},
                        {"X-Other", "3"},
                        {"X-Third", "4"},
                        {"Keep-Alive", "timeout=5"},
                        {"Proxy-Connection", "close"},
                        {"TE", "trailers"},
                        {"Trailer", "X-Sum"},
                        {"Upgrade", "h2c"},
                        {"Transfer-Encoding", "chunked"},
                        {"Expect", "100-continue"},
                        {"X-End", "5"}}};
  removeConnectionFields(Headers);
  CHECK(Headers == http_headers{{{"Host", "h:80"}, {"X-End", "5"}}});
}
