#include "apps/ctl/client.hpp"

#include <boost/asio/co_spawn.hpp>

namespace galenastage {

http_result entry_client::call(http_request Request) {
  asio::io_context Context(1);
  http_client Client(Context);
  http_result Result;
  asio::co_spawn(Context, Client.send(Entry, std::move(Request), Timeout),
                 [&](std::exception_ptr Failure, http_result Answer) {
                   if (!Failure)
                     Result = std::move(Answer);
                 });
  Context.run();
  return Result;
}

} // namespace galenastage
