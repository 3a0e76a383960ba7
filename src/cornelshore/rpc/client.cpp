#include <cornelshore/rpc/client.hpp>

#include <istream>
#include <memory>
#include <sstream>
#include <utility>

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

#include <cornelshore/rpc/tls.hpp>

namespace cornelshore {
namespace rpc {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorValue = boost::system::error_code;

constexpr std::size_t kLongestAnswerBytes = 64 * 1024 * 1024;

/** One connection that sends a line and reads a line within a time. */
class LineConnector : public jsonrpc::IClientConnector
{
public:
  LineConnector(Endpoint aEndpoint,
                TlsFiles aTls,
                std::chrono::milliseconds aTimeout)
    : endpoint_(std::move(aEndpoint))
    , tls_(std::move(aTls))
    , timeout_(aTimeout)
    , context_(asio::ssl::context::tls)
    , buffer_(kLongestAnswerBytes)
  {
  }

  /** The base class allows one exception only, so errors are kept instead. */
  void SendRPCMessage(const std::string& aMessage,
                      std::string& aResult) noexcept override
  {
    try {
      Send(aMessage);
    } catch (const std::exception& error) {
      error_ = error.what();
    }
    aResult = answer_;
  }

  /** What broke the exchange; empty when a line was answered. */
  std::string Error() const
  {
    if (done_) {
      return "";
    }
    return error_.empty() ? "no answer in time" : error_;
  }

private:
  void Send(const std::string& aMessage)
  {
    line_ = aMessage;
    if (line_.empty() || line_.back() != '\n') {
      line_.push_back('\n');
    }
    if (tls_.authority_.empty()) {
      tcp::socket stream(io_);
      Connect(stream, [this, &stream] { Exchange(stream); });
      io_.run_for(timeout_);
      return;
    }
    internal::Configure(context_, tls_);
    asio::ssl::stream<tcp::socket> stream(io_, context_);
    Connect(stream.next_layer(), [this, &stream] { Handshake(stream); });
    io_.run_for(timeout_);
  }

  void Handshake(asio::ssl::stream<tcp::socket>& aStream)
  {
    aStream.async_handshake(asio::ssl::stream_base::client,
                            [this, &aStream](const ErrorValue& aError) {
                              if (!Failed(aError)) {
                                Exchange(aStream);
                              }
                            });
  }

  template<typename Next>
  void Connect(tcp::socket& aSocket, Next aNext)
  {
    const tcp::endpoint endpoint(asio::ip::make_address(endpoint_.ip_),
                                 endpoint_.port_);
    aSocket.async_connect(endpoint, [this, aNext](const ErrorValue& aError) {
      if (!Failed(aError)) {
        aNext();
      }
    });
  }

  template<typename Stream>
  void Exchange(Stream& aStream)
  {
    asio::async_write(aStream,
                      asio::buffer(line_),
                      [this, &aStream](const ErrorValue& aError, std::size_t) {
                        if (Failed(aError)) {
                          return;
                        }
                        asio::async_read_until(
                          aStream,
                          buffer_,
                          '\n',
                          [this](const ErrorValue& aReadError, std::size_t) {
                            if (Failed(aReadError)) {
                              return;
                            }
                            std::istream input(&buffer_);
                            std::getline(input, answer_);
                            done_ = true;
                          });
                      });
  }

  bool Failed(const ErrorValue& aError)
  {
    if (aError) {
      error_ = aError.message();
    }
    return static_cast<bool>(aError);
  }

  Endpoint endpoint_;
  TlsFiles tls_;
  std::chrono::milliseconds timeout_;
  asio::ssl::context context_;
  asio::io_context io_;
  asio::streambuf buffer_;
  std::string line_;
  std::string answer_;
  std::string error_;
  bool done_{ false };
};

/** Only an error that the process gave before it carried the call out says that
 * it was not carried out. */
ErrorCode
CodeOf(const jsonrpc::JsonRpcException& aError)
{
  using jsonrpc::Errors;
  const auto code = aError.GetCode();
  if (code == static_cast<int>(ErrorCode::Unavailable)) {
    return ErrorCode::Unavailable;
  }
  if (code == static_cast<int>(ErrorCode::Refused) ||
      code == Errors::ERROR_RPC_METHOD_NOT_FOUND ||
      code == Errors::ERROR_RPC_INVALID_REQUEST ||
      code == Errors::ERROR_RPC_INVALID_PARAMS) {
    return ErrorCode::Refused;
  }
  return ErrorCode::Malformed;
}

} // namespace

Reply
Call(const Endpoint& aEndpoint,
     const TlsFiles& aTls,
     const std::string& aMethod,
     const std::string& aParamsJson,
     std::chrono::milliseconds aTimeout)
{
  LineConnector connector(aEndpoint, aTls, aTimeout);
  try {
    Json::Value params;
    std::istringstream input(aParamsJson);
    if (!Json::parseFromStream(
          Json::CharReaderBuilder(), input, &params, nullptr)) {
      return { ErrorCode::Malformed, "", "the parameters are no JSON" };
    }
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    const auto result = client.CallMethod(aMethod, params);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return { ErrorCode::None, Json::writeString(writer, result), "" };
  } catch (const jsonrpc::JsonRpcException& error) {
    const auto transport = connector.Error();
    if (!transport.empty()) {
      return { ErrorCode::Transport, "", transport };
    }
    return { CodeOf(error), "", error.GetMessage() };
  } catch (const std::exception& error) {
    return { ErrorCode::Transport, "", error.what() };
  }
}

} // namespace rpc
} // namespace cornelshore
